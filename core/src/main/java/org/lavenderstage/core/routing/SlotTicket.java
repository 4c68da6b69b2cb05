package org.lavenderstage.core.routing;

/**
 * A slot in use, to be released when its request has ended.
 *
 * @param executor identifier of the executor
 * @param slot index of the slot
 * @param lender VM that lent the slot; empty for an own slot
 * @param loanId number of the loan; 0 for an own slot
 */
public record SlotTicket(String executor, int slot, String lender, long loanId) {
  /**
   * Returns whether the slot is owned by this entry.
   *
   * @return whether the slot is an own one; false if a peer has lent it
   */
  public boolean isOwn() {
    return lender.isEmpty();
  }
}
