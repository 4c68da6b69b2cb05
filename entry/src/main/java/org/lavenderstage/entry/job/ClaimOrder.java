package org.lavenderstage.entry.job;

import java.util.List;
import org.lavenderstage.wire.peer.OwnershipReply;

/**
 * The order in which entries claim the jobs of an owner that is gone, so that few entries claim at
 * once. Entries with more CPU claim first; the name decides between equal ones.
 *
 * @param entry incarnation of this entry
 * @param processorMillis CPU of this entry in thousandths of a core
 */
record ClaimOrder(String entry, int processorMillis) {
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
        .filter(this::isPreferred)
        .count();
  }

  private boolean isPreferred(OwnershipReply other) {
    return other.processorMillis() == processorMillis
        ? other.entry().compareTo(entry) < 0
        : other.processorMillis() > processorMillis;
  }
}
