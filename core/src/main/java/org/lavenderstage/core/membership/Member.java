package org.lavenderstage.core.membership;

/**
 * One entry as its heartbeat describes it.
 *
 * @param entry incarnation of the entry
 * @param vm VM of the entry
 * @param domain failure domain of the entry
 * @param peerAddress host and port of its peer link
 * @param sheetVersion version of the sheet that it has in force
 * @param configOffset offset up to which it has folded the configuration
 * @param configDigest digest of its folded configuration
 * @param draining whether it takes no new work
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
