package org.lavenderstage.core.ledger.cell;

import java.util.Optional;

/**
 * Records which entry may propose placements in a cell.
 *
 * @param owner incarnation of the owner, empty before the first claim and after a release
 * @param epoch epoch of the last claim, 0 for none
 * @param leaseUntilMillis last append time at which the owner's proposals are valid, in
 *     milliseconds since 1970
 * @param formerLeaseUntilMillis latest expiry of a lease under an earlier epoch, in milliseconds
 *     since 1970; no start command of a previous owner takes effect later
 */
public record CellOwnership(
    Optional<String> owner, long epoch, long leaseUntilMillis, long formerLeaseUntilMillis) {
  /** The ownership of a cell that has not been claimed yet. */
  public static final CellOwnership NONE = new CellOwnership(Optional.empty(), 0, 0, 0);

  /**
   * Returns whether a proposal under an epoch is valid at a time.
   *
   * @param proposedEpoch epoch in the proposal
   * @param appendTimeMillis append time of the proposal in milliseconds since 1970
   * @return whether the proposer owns the cell at that time
   */
  public boolean allows(long proposedEpoch, long appendTimeMillis) {
    return owner.isPresent() && proposedEpoch == epoch && appendTimeMillis <= leaseUntilMillis;
  }

  /**
   * Returns whether an entry may claim the cell at a time.
   *
   * @param appendTimeMillis append time of the claim in milliseconds since 1970
   * @return whether there is no owner with a valid lease
   */
  public boolean isFree(long appendTimeMillis) {
    return owner.isEmpty() || appendTimeMillis > leaseUntilMillis;
  }

  CellOwnership claimed(String entry, long nextEpoch, long untilMillis) {
    long previousUntilMillis = Math.max(formerLeaseUntilMillis, leaseUntilMillis);
    return new CellOwnership(Optional.of(entry), nextEpoch, untilMillis, previousUntilMillis);
  }

  CellOwnership renewed(long untilMillis) {
    return new CellOwnership(
        owner, epoch, Math.max(leaseUntilMillis, untilMillis), formerLeaseUntilMillis);
  }

  /**
   * Returns the ownership after a release. The end of the lease is kept, since start commands under
   * it may still be in flight.
   */
  CellOwnership released() {
    return new CellOwnership(Optional.empty(), epoch, leaseUntilMillis, formerLeaseUntilMillis);
  }
}
