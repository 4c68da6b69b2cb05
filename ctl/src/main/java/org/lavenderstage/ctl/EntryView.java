package org.lavenderstage.ctl;

/**
 * The part of an entry's state dump that the commands use.
 *
 * @param entry name of the entry's incarnation
 * @param vm VM on which the entry runs
 * @param ready whether the entry accepts new work
 * @param draining whether the entry accepts no new work because it is about to stop
 * @param sheetVersion version of the sheet in force
 * @param queued number of requests that wait for a slot
 * @param inFlight number of requests that executors are processing
 */
record EntryView(
    String entry,
    String vm,
    boolean ready,
    boolean draining,
    long sheetVersion,
    int queued,
    int inFlight) {}
