package org.lavenderstage.entry;

/**
 * Where an entry listens.
 *
 * @param http host and port for callers
 * @param admin host and port for operators
 * @param peer host and port for the other entries
 */
public record EntryAddresses(String http, String admin, String peer) {}
