package org.lavenderstage.entry.job;

import java.util.List;
import org.lavenderstage.wire.peer.OwnershipReply;

/**
 * The order in which entries claim the jobs of an owner that is gone, so that few claim at once:
 * the more processor an entry has, the sooner.
 *
 * @param entry incarnation of this entry
 * @param processorMillis processor of this entry in thousandths of a core
 */
record ClaimOrder(String entry, int processorMillis) {
  /**
   * Counts the entries that go before this one, among those that answer, may claim and reach the
   * store. The owner to be replaced does not count; it may still answer while it stops.
   *
   * @param replaced incarnation of the owner to be replaced
   * @param replies what the other entries answered
   * @param longestStoreSilence longest silence of the store of an entry that may claim, in
   *     milliseconds
   * @return the count
   */
  long before(String replaced, List<OwnershipReply> replies, long longestStoreSilence) {
    return replies.stream()
        .filter(OwnershipReply::candidate)
        .filter(reply -> reply.storeSilentMillis() < longestStoreSilence)
        .filter(reply -> !reply.entry().equals(replaced))
        .filter(this::isBehind)
        .count();
  }

  private boolean isBehind(OwnershipReply other) {
    return other.processorMillis() == processorMillis
        ? other.entry().compareTo(entry) < 0
        : other.processorMillis() > processorMillis;
  }
}
