package org.lavenderstage.core.ledger;

/**
 * The complete state of a stream's state machine as plain values, from which an equal one can be
 * restored.
 */
public interface FoldState {}
