package org.lavenderstage.core.ledger;

/** The whole state of a fold as plain values, from which an equal fold can be restored. */
public interface FoldState {}
