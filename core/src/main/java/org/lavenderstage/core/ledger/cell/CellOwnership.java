package org.lavenderstage.core.ledger.cell;

import java.util.Optional;

/**
 * Who may propose placements in a cell.
 *
 * @param owner incarnation of the owner, empty before the first claim and after a release
 * @param epoch epoch of the last claim, 0 for none
 * @param leaseUntilMillis last append time at which the owner's proposals are valid
 */
public record CellOwnership(Optional<String> owner, long epoch, long leaseUntilMillis) {
  /** A cell that nobody has claimed yet. */
  public static final CellOwnership NONE = new CellOwnership(Optional.empty(), 0, 0);

  /**
   * Tells whether a proposal under an epoch is valid at a time.
   *
   * @param proposedEpoch epoch that the proposal names
   * @param appendTimeMillis time of its append
   * @return whether the proposer owns the cell then
   */
  public boolean allows(long proposedEpoch, long appendTimeMillis) {
    return owner.isPresent() && proposedEpoch == epoch && appendTimeMillis <= leaseUntilMillis;
  }

  /**
   * Tells whether an entry may claim the cell at a time.
   *
   * @param appendTimeMillis time of the claim
   * @return whether there is no owner whose lease lasts
   */
  public boolean isFree(long appendTimeMillis) {
    return owner.isEmpty() || appendTimeMillis > leaseUntilMillis;
  }
}
