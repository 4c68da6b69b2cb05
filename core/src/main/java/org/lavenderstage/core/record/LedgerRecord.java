package org.lavenderstage.core.record;

/**
 * A proposal in the platform's log. It takes effect only where the fold of its stream finds it
 * valid at its place in the order.
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
