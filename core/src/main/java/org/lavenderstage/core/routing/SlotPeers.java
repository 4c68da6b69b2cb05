package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/** What an entry knows of its peers' shares, and for how long each was silent. */
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

  /** Takes the VM list; a listed VM counts as heard from at the time that it is first listed. */
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

  /** Takes an announcement; false where it is older than one that was taken before. */
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

  /** Lets a VM count that a peer still counts, since its requests may still run. */
  private void addUnknownVms(SlotAnnouncement announcement, long now) {
    for (String vm : announcement.ownerVms()) {
      if (!vm.equals(selfVm) && !expired.containsKey(vm)) {
        peers.computeIfAbsent(vm, name -> new Peer(now));
      }
    }
  }

  /** Begins all silences anew, since this entry itself could not hear. */
  void restartSilenceTimers(long now) {
    peers.values().forEach(peer -> peer.lastKnownAliveAt = now);
  }

  /** Forgets peers whose slots are free: silent towards every entry that is heard. */
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

  /** The VMs that should share the slots: those heard from or listed, but for draining ones. */
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

  /** What this entry has seen of each peer. */
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
   * The last announcements of all peers that count, empty for one that was never heard from or
   * whose predecessor's requests may still run. One that drained and gave all up does not count.
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

  /** One peer. */
  private static final class Peer {
    private final List<String> previousIncarnations = new ArrayList<>();
    private SlotAnnouncement lastAnnouncement;
    private boolean draining;
    private long lastReceivedAt;
    private long lastKnownAliveAt;
    private long predecessorEndsAt;
    private boolean predecessorMayRun;

    /** Tells whether it drained and holds no slot any more; it will not ask for one again. */
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
