package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** An entry's view of its peers: their last announcements, and when each was last known alive. */
final class SlotPeers {
  private final String selfVm;
  private final long handoverNanos;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<String, Long> expired = new TreeMap<>();
  private TreeSet<String> listedVms = new TreeSet<>();

  SlotPeers(String selfVm, long handoverNanos) {
    this.selfVm = selfVm;
    this.handoverNanos = handoverNanos;
  }

  /** Updates the listed VMs; a newly listed VM is assumed to be alive at this time. */
  void updateVms(List<String> vms, long now) {
    TreeSet<String> next = new TreeSet<>(vms);
    next.remove(selfVm);
    for (String vm : next) {
      if (!listedVms.contains(vm)) {
        peers.computeIfAbsent(vm, name -> new Peer(now));
      }
    }
    listedVms = next;
  }

  /** Records an announcement; returns false if it is older than one received before. */
  boolean receiveAnnouncement(SlotAnnouncement announcement, boolean draining, long now) {
    expired.remove(announcement.vm());
    Peer peer = peers.computeIfAbsent(announcement.vm(), name -> new Peer(now));
    SlotAnnouncement last = peer.lastAnnouncement;
    if (last != null && last.incarnation().equals(announcement.incarnation())) {
      if (announcement.sequence() <= last.sequence()) {
        return false;
      }
    } else if (last != null) {
      if (peer.previousIncarnations.contains(announcement.incarnation())) {
        return false;
      }
      peer.previousIncarnations.add(last.incarnation());
      peer.predecessorEndsAt = now + handoverNanos;
      peer.predecessorMayRun = !peer.hasReleasedAll();
    }
    addUnknownVms(announcement, now);
    peer.lastAnnouncement = announcement;
    peer.draining = draining;
    peer.lastReceivedAt = now;
    peer.lastKnownAliveAt = now;
    for (SlotAnnouncement.Ack ack : announcement.acks()) {
      Peer acknowledgedPeer = peers.get(ack.vm());
      if (acknowledgedPeer != null) {
        acknowledgedPeer.lastKnownAliveAt = now;
      }
    }
    return true;
  }

  /** Adds the VMs that a peer still counts as owners, since their requests may still be running. */
  private void addUnknownVms(SlotAnnouncement announcement, long now) {
    for (String vm : announcement.ownerVms()) {
      if (!vm.equals(selfVm) && !expired.containsKey(vm)) {
        peers.computeIfAbsent(vm, name -> new Peer(now));
      }
    }
  }

  /** Restarts the timers of all peers after a pause in which this entry could not receive. */
  void restartSilenceTimers(long now) {
    peers.values().forEach(peer -> peer.lastKnownAliveAt = now);
  }

  /** Removes the peers that no live entry has heard from for the handover time. */
  void expire(long now) {
    expired.values().removeIf(at -> now - at > handoverNanos);
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      peer.predecessorMayRun &= peer.predecessorEndsAt - now > 0;
      if (isSilent(peer, now)) {
        expired.put(entry.getKey(), now);
      }
    }
    peers.keySet().removeAll(expired.keySet());
  }

  private boolean isSilent(Peer peer, long now) {
    return now - peer.lastReceivedAt > handoverNanos && now - peer.lastKnownAliveAt > handoverNanos;
  }

  /** Returns the VMs that should own slots: those heard from and not draining. */
  List<String> activeVms() {
    List<String> vms = new ArrayList<>();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.lastAnnouncement != null && !peer.draining) {
        vms.add(entry.getKey());
      }
    }
    return vms;
  }

  /** Returns an acknowledgement for each peer whose last announcement is recent enough. */
  List<SlotAnnouncement.Ack> acks(long now, long maxAgeNanos) {
    List<SlotAnnouncement.Ack> acks = new ArrayList<>();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.lastAnnouncement != null && now - peer.lastReceivedAt <= maxAgeNanos) {
        long epoch = peer.predecessorMayRun ? -1 : peer.lastAnnouncement.epoch();
        acks.add(
            new SlotAnnouncement.Ack(entry.getKey(), peer.lastAnnouncement.incarnation(), epoch));
      }
    }
    return acks;
  }

  /**
   * Returns the last announcements of all peers that may own slots. An element is empty if the peer
   * has not been heard from yet, or if requests of its predecessor on the VM may still be running.
   * A peer that has drained and released all slots is left out.
   */
  List<Optional<SlotAnnouncement>> announcements() {
    List<Optional<SlotAnnouncement>> all = new ArrayList<>();
    for (Peer peer : peers.values()) {
      if (peer.hasReleasedAll() && !peer.predecessorMayRun) {
        continue;
      }
      all.add(
          peer.predecessorMayRun ? Optional.empty() : Optional.ofNullable(peer.lastAnnouncement));
    }
    return all;
  }

  /** The state of one peer. */
  private static final class Peer {
    private final List<String> previousIncarnations = new ArrayList<>();
    private SlotAnnouncement lastAnnouncement;
    private boolean draining;
    private long lastReceivedAt;
    private long lastKnownAliveAt;
    private long predecessorEndsAt;
    private boolean predecessorMayRun;

    /** Returns whether the peer drains and owns no slot any more; it will not acquire one again. */
    boolean hasReleasedAll() {
      return lastAnnouncement != null
          && draining
          && !lastAnnouncement.ownerVms().contains(lastAnnouncement.vm());
    }

    Peer(long now) {
      lastReceivedAt = now;
      lastKnownAliveAt = now;
    }
  }
}
