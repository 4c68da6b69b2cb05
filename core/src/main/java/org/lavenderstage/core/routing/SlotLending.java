package org.lavenderstage.core.routing;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides when an entry asks a peer for idle slots, whom, and how many it lends itself. One
 * question is open at a time.
 */
public final class SlotLending {
  private static final int MAX_SLOTS_PER_REQUEST = 16;
  private static final long REPLY_TIMEOUT_NANOS = 20_000_000;
  private static final double MIN_FREE_FRACTION = 0.15;
  private static final double SURPLUS_FRACTION = 0.35;
  private static final int MIN_FREE_SLOTS = 1;

  private final RandomSource random;
  private final Map<String, Integer> freeSlotsByPeer = new TreeMap<>();
  private boolean requestPending;
  private long requestedAt;

  /**
   * Makes lending without knowledge of peers.
   *
   * @param random chooses between peers
   */
  public SlotLending(RandomSource random) {
    this.random = random;
  }

  /**
   * A question to a peer.
   *
   * @param vm VM of the peer
   * @param maxSlots most slots wanted
   */
  public record LoanRequest(String vm, int maxSlots) {}

  /**
   * Notes how many idle slots a peer told of.
   *
   * @param vm VM of the peer
   * @param free its idle slots
   */
  public void updatePeer(String vm, int free) {
    freeSlotsByPeer.put(vm, free);
  }

  /**
   * Decides whether to ask now.
   *
   * @param waiting requests that wait here
   * @param slots slots at hand
   * @param now monotonic time in nanoseconds
   * @return whom to ask, empty for nobody
   */
  public Optional<LoanRequest> nextLoanRequest(int waiting, SlotCount slots, long now) {
    int wanted = waiting + minFree(slots) - slots.free();
    if (wanted <= 0 || (requestPending && now - requestedAt < REPLY_TIMEOUT_NANOS)) {
      return Optional.empty();
    }
    Optional<String> peer = choosePeer();
    if (peer.isEmpty()) {
      return Optional.empty();
    }
    requestPending = true;
    requestedAt = now;
    return Optional.of(new LoanRequest(peer.get(), Math.min(wanted, MAX_SLOTS_PER_REQUEST)));
  }

  private Optional<String> choosePeer() {
    int sum = 0;
    for (int free : freeSlotsByPeer.values()) {
      sum += Math.max(0, free);
    }
    if (sum == 0) {
      return Optional.empty();
    }
    int remaining = random.nextInt(sum);
    for (Map.Entry<String, Integer> peer : freeSlotsByPeer.entrySet()) {
      remaining -= Math.max(0, peer.getValue());
      if (remaining < 0) {
        return Optional.of(peer.getKey());
      }
    }
    return Optional.empty();
  }

  /**
   * Notes a peer's answer.
   *
   * @param vm VM of the peer
   * @param free idle slots that it still has
   */
  public void replyReceived(String vm, int free) {
    requestPending = false;
    freeSlotsByPeer.put(vm, free);
  }

  /**
   * Forgets a peer that does not answer.
   *
   * @param vm VM of the peer
   */
  public void removePeer(String vm) {
    freeSlotsByPeer.remove(vm);
  }

  /**
   * Tells how many slots may be lent.
   *
   * @param waiting requests that wait here
   * @param slots slots at hand
   * @return the count
   */
  public static int lendable(int waiting, SlotCount slots) {
    return waiting > 0 ? 0 : Math.max(0, (slots.free() - minFree(slots)) / 2);
  }

  /**
   * Tells whether idle borrowed slots should be returned.
   *
   * @param waiting requests that wait here
   * @param slots slots at hand
   * @return whether there are far more idle slots than needed
   */
  public static boolean hasSurplus(int waiting, SlotCount slots) {
    return waiting == 0
        && slots.free() > Math.max(MIN_FREE_SLOTS + 1, SURPLUS_FRACTION * slots.total());
  }

  private static int minFree(SlotCount slots) {
    return Math.max(MIN_FREE_SLOTS, (int) Math.round(MIN_FREE_FRACTION * slots.total()));
  }
}
