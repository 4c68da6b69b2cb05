package org.lavenderstage.entry;

/**
 * The addresses that an entry listens on.
 *
 * @param http host and port for callers
 * @param admin host and port for operators
 * @param peer host and port for the other entries
 */
public record EntryAddresses(String http, String admin, String peer) {}
