package org.lavenderstage.core.routing;

/**
 * One slot that its owner lends.
 *
 * @param executor identifier of the executor
 * @param slot index of the slot
 * @param id number that tells this loan from earlier ones of the same slot
 */
public record SlotLoan(String executor, int slot, long id) {}
