package org.lavenderstage.core.routing;

/**
 * A slot in use, to be given back when its request has ended.
 *
 * @param executor identifier of the executor
 * @param slot index of the slot
 * @param lender VM that lent the slot, empty for an own one
 * @param loanId number of the loan, 0 for an own slot
 */
public record SlotTicket(String executor, int slot, String lender, long loanId) {
  /**
   * Tells whether the slot is this entry's own.
   *
   * @return false where a peer lent it
   */
  public boolean isOwn() {
    return lender.isEmpty();
  }
}
