package org.lavenderstage.core.routing;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides when an entry requests a loan of free slots from a peer, from which peer, and how many
 * slots it lends itself. One loan request is pending at a time.
 */
public final class SlotLending {
  private static final int MAX_SLOTS_PER_REQUEST = 16;

  /** Another loan may be requested if no reply has arrived after this time. */
  private static final long REPLY_TIMEOUT_NANOS = 20_000_000;

  /** Fraction of its slots that an entry keeps free; with fewer it requests a loan. */
  private static final double MIN_FREE_FRACTION = 0.15;

  /** With more than this fraction of its slots free, an entry returns borrowed slots. */
  private static final double SURPLUS_FRACTION = 0.35;

  private static final int MIN_FREE_SLOTS = 1;

  private final RandomSource random;
  private final Map<String, Integer> freeSlotsByPeer = new TreeMap<>();
  private boolean requestPending;
  private long requestedAt;

  /**
   * Creates an instance that knows no peers.
   *
   * @param random source of the random choice of the peer
   */
  public SlotLending(RandomSource random) {
    this.random = random;
  }

  /**
   * A loan request to a peer.
   *
   * @param vm VM of the peer
   * @param maxSlots maximum number of slots to lend
   */
  public record LoanRequest(String vm, int maxSlots) {}

  /**
   * Records how many free slots a peer has announced.
   *
   * @param vm VM of the peer
   * @param free number of its free slots
   */
  public void updatePeer(String vm, int free) {
    freeSlotsByPeer.put(vm, free);
  }

  /**
   * Returns the loan request to send now, if one is needed.
   *
   * @param waiting number of requests queued at this entry
   * @param slots slots that this entry may use
   * @param now monotonic time in nanoseconds
   * @return the loan request, or empty if none is to be sent
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
   * Records a peer's reply to the pending loan request.
   *
   * @param vm VM of the peer
   * @param free number of free slots that the peer still has
   */
  public void replyReceived(String vm, int free) {
    requestPending = false;
    freeSlotsByPeer.put(vm, free);
  }

  /**
   * Removes a peer that does not reply.
   *
   * @param vm VM of the peer
   */
  public void removePeer(String vm) {
    freeSlotsByPeer.remove(vm);
  }

  /**
   * Returns the number of slots that this entry may lend.
   *
   * @param waiting number of requests queued at this entry
   * @param slots slots that this entry may use
   * @return number of slots
   */
  public static int lendableCount(int waiting, SlotCount slots) {
    return waiting > 0 ? 0 : Math.max(0, (slots.free() - minFree(slots)) / 2);
  }

  /**
   * Returns whether free borrowed slots should be returned.
   *
   * @param waiting number of requests queued at this entry
   * @param slots slots that this entry may use
   * @return whether far more slots are free than needed
   */
  public static boolean hasSurplus(int waiting, SlotCount slots) {
    return waiting == 0
        && slots.free() > Math.max(MIN_FREE_SLOTS + 1, SURPLUS_FRACTION * slots.total());
  }

  private static int minFree(SlotCount slots) {
    return Math.max(MIN_FREE_SLOTS, (int) Math.round(MIN_FREE_FRACTION * slots.total()));
  }
}
