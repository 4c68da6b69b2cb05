package org.lavenderstage.core.claim;

/**
 * One step of a sequence.
 *
 * @param kind what happens
 * @param node to which entry
 * @param choice which of several keys, calls or times
 */
record ClaimStep(Kind kind, int node, int choice) {
  /** What can happen. */
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
    CROSS_ANSWER,
    ASK,
    REPLY,
    ADVANCE,
    ADVANCE_FAR,
    FREEZE,
    THAW,
    REPLACE,
    LOG_DOWN,
    LOG_UP
  }
}
