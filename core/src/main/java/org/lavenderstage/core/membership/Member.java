package org.lavenderstage.core.membership;

/**
 * One entry as its heartbeat describes it.
 *
 * @param entry incarnation of the entry
 * @param vm VM on which the entry runs
 * @param domain failure domain of the entry
 * @param peerAddress host and port for connections of peers
 * @param sheetVersion version of the sheet that is in force at the entry
 * @param configOffset offset up to which it has applied the configuration stream
 * @param configDigest digest of its configuration state
 * @param draining whether it accepts no new work
 */
public record Member(
    String entry,
    String vm,
    String domain,
    String peerAddress,
    long sheetVersion,
    long configOffset,
    String configDigest,
    boolean draining) {}
