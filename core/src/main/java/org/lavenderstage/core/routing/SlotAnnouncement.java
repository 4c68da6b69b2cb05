package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * What an entry tells its peers about its share of the slots, as part of its heartbeat.
 *
 * @param vm VM of the entry
 * @param incarnation incarnation of the entry
 * @param sequence count of announcements; an older one than the last is ignored
 * @param epoch number of the set in force, which grows with each change
 * @param ownerVms entry VMs over which the entry divides the slots, sorted
 * @param acks the peers' epochs that the entry has seen
 */
public record SlotAnnouncement(
    String vm,
    String incarnation,
    long sequence,
    long epoch,
    List<String> ownerVms,
    List<Ack> acks) {
  /** Copies the lists. */
  public SlotAnnouncement {
    ownerVms = List.copyOf(ownerVms);
    acks = List.copyOf(acks);
  }

  /**
   * Finds what this entry has seen of a peer.
   *
   * @param peerVm VM of the peer
   * @return the acknowledgement, empty where the peer was not heard from lately
   */
  public Optional<Ack> ack(String peerVm) {
    for (Ack ack : acks) {
      if (ack.vm().equals(peerVm)) {
        return Optional.of(ack);
      }
    }
    return Optional.empty();
  }

  /**
   * The epoch of a peer that an entry has seen.
   *
   * @param vm VM of the peer
   * @param incarnation incarnation of the peer
   * @param epoch the epoch; -1 where the peer is alive but must wait for its predecessor's requests
   */
  public record Ack(String vm, String incarnation, long epoch) {}
}
