package org.lavenderstage.entry.job;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.wire.peer.OwnershipReply;

/**
 * The order in which entries claim the jobs of an owner that is gone, so that few entries claim at
 * once. Entries with more CPU claim first; the name decides between equal ones.
 *
 * @param entry incarnation of this entry
 * @param processorMillis CPU of this entry in thousandths of a core
 */
record ClaimOrder(String entry, int processorMillis) {
  /** Number of entries that are ready to claim the jobs at once; all others follow at leisure. */
  private static final int SUCCESSORS = 4;

  /** Number of entries that a candidate asks before it claims; enough for all successors. */
  private static final int ASKED_CANDIDATES = 2 * SUCCESSORS;

  /** Interval at which a successor queries the owner, in milliseconds. */
  private static final long SUCCESSOR_POLL_MILLIS = 200;

  /**
   * Interval at which the other entries query the owner, in milliseconds; shorter than the time for
   * which a query makes its sender a follower.
   */
  private static final long POLL_MILLIS = 600;

  /**
   * Delay of a claim for each entry that claims first, in milliseconds; about a claim's duration.
   */
  private static final long CLAIM_DELAY_PER_RANK_MILLIS = 500;

  /**
   * Delay of a claim for each entry in the order after those that are asked, in milliseconds, so
   * that not all claim at once where none of these replies.
   */
  private static final long CLAIM_DELAY_PER_POSITION_MILLIS = 20;

  /**
   * Returns whether this entry is one of the few that are to replace the owner.
   *
   * @param owner incarnation of the owner
   * @param others the other entries
   * @return whether few entries claim the jobs before this one
   */
  boolean isSuccessor(String owner, Collection<MemberRecord> others) {
    return position(owner, others) < SUCCESSORS;
  }

  private long position(String owner, Collection<MemberRecord> others) {
    return others.stream()
        .filter(other -> !other.entry().equals(owner))
        .filter(other -> isPreferred(other.entry(), other.processorMillis()))
        .count();
  }

  /**
   * Returns the interval at which this entry queries the owner. Only successors have to notice at
   * once that it is gone; the owner would spend its time on the queries of all entries.
   *
   * @param owner incarnation of the owner
   * @param others the other entries
   * @return the interval in milliseconds
   */
  long pollIntervalMillis(String owner, Collection<MemberRecord> others) {
    return isSuccessor(owner, others) ? SUCCESSOR_POLL_MILLIS : POLL_MILLIS;
  }

  /**
   * Selects the entries that a candidate asks before it claims: those that claim first of all, so
   * that the number of queries grows with the number of entries, not with that of pairs of them.
   *
   * @param owner incarnation of the owner to be replaced
   * @param others the other entries
   * @return the entries to ask
   */
  List<MemberRecord> entriesToAsk(String owner, Collection<MemberRecord> others) {
    return others.stream()
        .filter(other -> !other.entry().equals(owner))
        .sorted(
            Comparator.comparingInt(MemberRecord::processorMillis)
                .reversed()
                .thenComparing(MemberRecord::entry))
        .limit(ASKED_CANDIDATES)
        .toList();
  }

  /**
   * Returns how long this entry waits before it claims the jobs.
   *
   * @param owner incarnation of the owner to be replaced
   * @param others the other entries
   * @param replies replies of the entries that were asked
   * @param storeTimeoutMillis time in milliseconds; an entry to which the store has not answered
   *     for so long does not count
   * @return the time in milliseconds since this entry became a candidate
   */
  long claimDelayMillis(
      String owner,
      Collection<MemberRecord> others,
      List<OwnershipReply> replies,
      long storeTimeoutMillis) {
    long unasked = Math.max(0, position(owner, others) - ASKED_CANDIDATES);
    return countPreferred(owner, replies, storeTimeoutMillis) * CLAIM_DELAY_PER_RANK_MILLIS
        + unasked * CLAIM_DELAY_PER_POSITION_MILLIS;
  }

  /**
   * Counts the entries that claim before this one, among those that reply, may claim and reach the
   * store. The owner to be replaced does not count, since it may still reply while it stops.
   *
   * @param replacedOwner incarnation of the owner to be replaced
   * @param replies replies of the other entries
   * @param storeTimeoutMillis time in milliseconds; an entry to which the store has not answered
   *     for so long does not count
   * @return the number of entries that claim first
   */
  long countPreferred(String replacedOwner, List<OwnershipReply> replies, long storeTimeoutMillis) {
    return replies.stream()
        .filter(OwnershipReply::candidate)
        .filter(reply -> reply.storeSilentMillis() < storeTimeoutMillis)
        .filter(reply -> !reply.entry().equals(replacedOwner))
        .filter(reply -> isPreferred(reply.entry(), reply.processorMillis()))
        .count();
  }

  private boolean isPreferred(String other, int otherProcessorMillis) {
    return otherProcessorMillis == processorMillis
        ? other.compareTo(entry) < 0
        : otherProcessorMillis > processorMillis;
  }
}
