package org.lavenderstage.core.routing;

/**
 * A slot that its owner has lent.
 *
 * @param executor identifier of the executor
 * @param slot index of the slot
 * @param id number of the loan, which distinguishes it from earlier loans of the same slot
 */
public record SlotLoan(String executor, int slot, long id) {}
