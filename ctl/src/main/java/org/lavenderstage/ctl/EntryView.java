package org.lavenderstage.ctl;

/**
 * What the commands read of an entry's dump.
 *
 * @param entry incarnation of the entry
 * @param vm VM of the entry
 * @param ready whether it takes new work
 * @param draining whether it takes no new work because it is about to stop
 * @param sheetVersion version of the sheet in force
 * @param queued requests that wait for a slot
 * @param inFlight requests at executors
 */
record EntryView(
    String entry,
    String vm,
    boolean ready,
    boolean draining,
    long sheetVersion,
    int queued,
    int inFlight) {}
