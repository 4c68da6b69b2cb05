package org.lavenderstage.wire.peer;

/** Message between two entries. */
public sealed interface PeerMessage
    permits AnswerQuery,
        AnswerReply,
        CallQuery,
        CallReply,
        Heartbeat,
        OwnershipQuery,
        OwnershipReply,
        SheetQuery,
        SheetReply,
        SlotAsk,
        SlotGrant,
        SlotReturn,
        SlotState,
        SnapshotQuery,
        SnapshotReply {}
