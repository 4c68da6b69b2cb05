package org.lavenderstage.core.record;

/**
 * A record in the platform's log. It is a proposal: it takes effect only if the state machine of
 * its stream finds it valid at its offset.
 */
public sealed interface LedgerRecord
    permits AttemptEnded,
        AttemptExtended,
        CellClaimed,
        CellReleased,
        CellRenewed,
        JobAccepted,
        JobCancelled,
        JobRefused,
        RequestClaimed,
        RequestReleased,
        RequestSettled,
        SheetCommitted,
        SheetPart,
        SnapshotCommitted,
        SnapshotPart,
        TaskPlaced,
        WorkerRegistered {}
