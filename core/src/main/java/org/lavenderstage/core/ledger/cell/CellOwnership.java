package org.lavenderstage.core.ledger.cell;

import java.util.Optional;

/**
 * Who may propose placements in a cell.
 *
 * @param owner incarnation of the owner, empty before the first claim and after a release
 * @param epoch epoch of the last claim, 0 for none
 * @param leaseUntilMillis last append time at which the owner's proposals are valid
 * @param formerLeaseUntilMillis latest end of a lease under an earlier epoch; no start command of a
 *     former owner takes effect later
 */
public record CellOwnership(
    Optional<String> owner, long epoch, long leaseUntilMillis, long formerLeaseUntilMillis) {
  /** A cell that nobody has claimed yet. */
  public static final CellOwnership NONE = new CellOwnership(Optional.empty(), 0, 0, 0);

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

  CellOwnership claimed(String entry, long nextEpoch, long untilMillis) {
    long formerUntilMillis = Math.max(formerLeaseUntilMillis, leaseUntilMillis);
    return new CellOwnership(Optional.of(entry), nextEpoch, untilMillis, formerUntilMillis);
  }

  CellOwnership renewed(long untilMillis) {
    return new CellOwnership(
        owner, epoch, Math.max(leaseUntilMillis, untilMillis), formerLeaseUntilMillis);
  }

  /** Gives the cell up; start commands under this lease may still be on their way. */
  CellOwnership released() {
    return new CellOwnership(Optional.empty(), epoch, leaseUntilMillis, formerLeaseUntilMillis);
  }
}
