package org.lavenderstage.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * An entry's announcement to its peers of how it divides the slots, sent with its heartbeat.
 *
 * @param vm VM of the entry
 * @param incarnation incarnation of the entry
 * @param sequence sequence number of the announcement; one that is not newer than the last one
 *     received is ignored
 * @param epoch number of the current set of owner VMs, which increases with each change
 * @param ownerVms entry VMs over which the entry divides the slots, sorted
 * @param acks acknowledgements of the peers' epochs that the entry has received
 */
public record SlotAnnouncement(
    String vm,
    String incarnation,
    long sequence,
    long epoch,
    List<String> ownerVms,
    List<Ack> acks) {
  /** Copies the lists, so that the announcement is immutable. */
  public SlotAnnouncement {
    ownerVms = List.copyOf(ownerVms);
    acks = List.copyOf(acks);
  }

  /**
   * Returns the acknowledgement of a peer's epoch.
   *
   * @param peerVm VM of the peer
   * @return the acknowledgement, or empty if the entry has not heard from the peer recently
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
   * An acknowledgement of a peer's epoch.
   *
   * @param vm VM of the peer
   * @param incarnation incarnation of the peer
   * @param epoch last epoch received from the peer; -1 if the peer is alive but must not use slots
   *     yet, since requests of its predecessor on the VM may still be running
   */
  public record Ack(String vm, String incarnation, long epoch) {}
}
