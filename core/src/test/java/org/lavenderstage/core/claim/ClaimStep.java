package org.lavenderstage.core.claim;

/**
 * One step of a simulated sequence.
 *
 * @param kind kind of the step
 * @param node index of the entry to which it applies
 * @param choice selects one of several keys, calls or durations
 */
record ClaimStep(Kind kind, int node, int choice) {
  /** Kinds of steps. */
  enum Kind {
    SUBMIT,
    NEW_KEY,
    APPEND,
    APPEND_WITH_LOST_ANSWER,
    READ,
    TICK,
    CHECK,
    SEND,
    SEND_REFUSED,
    ANSWER,
    LOSE_ANSWER,
    SWAP_ANSWER,
    ASK,
    REPLY,
    ADVANCE,
    ADVANCE_FAR,
    PAUSE,
    RESUME,
    REPLACE,
    LOG_DOWN,
    LOG_UP
  }
}
