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
  private final Map<String, Long> forgotten = new TreeMap<>();
  private TreeSet<String> listed = new TreeSet<>();

  SlotPeers(String selfVm, long handoverNanos) {
    this.selfVm = selfVm;
    this.handoverNanos = handoverNanos;
  }

  /** Takes the VM list; a listed VM counts as heard from at the time that it is first listed. */
  void list(List<String> vms, long now) {
    TreeSet<String> next = new TreeSet<>(vms);
    next.remove(selfVm);
    for (String vm : next) {
      if (!listed.contains(vm)) {
        peers.computeIfAbsent(vm, name -> new Peer(now));
      }
    }
    listed = next;
  }

  /** Takes an announcement; false where it is older than one that was taken before. */
  boolean heard(SlotAnnouncement said, boolean draining, long now) {
    forgotten.remove(said.vm());
    Peer peer = peers.computeIfAbsent(said.vm(), name -> new Peer(now));
    SlotAnnouncement last = peer.last;
    if (last != null && last.incarnation().equals(said.incarnation())) {
      if (said.sequence() <= last.sequence()) {
        return false;
      }
    } else if (last != null) {
      if (peer.former.contains(said.incarnation())) {
        return false;
      }
      peer.former.add(last.incarnation());
      peer.restUntil = now + handoverNanos;
      peer.resting = !peer.hasGivenUp();
    }
    noteUnknown(said, now);
    peer.last = said;
    peer.draining = draining;
    peer.heardAt = now;
    peer.vouchedAt = now;
    for (SlotAnnouncement.Ack ack : said.acks()) {
      Peer other = peers.get(ack.vm());
      if (other != null) {
        other.vouchedAt = now;
      }
    }
    return true;
  }

  /** Lets a VM count that a peer still counts, since its requests may still run. */
  private void noteUnknown(SlotAnnouncement said, long now) {
    for (String vm : said.vms()) {
      if (!vm.equals(selfVm) && !forgotten.containsKey(vm)) {
        peers.computeIfAbsent(vm, name -> new Peer(now));
      }
    }
  }

  /** Begins all silences anew, since this entry itself could not hear. */
  void restartSilences(long now) {
    peers.values().forEach(peer -> peer.vouchedAt = now);
  }

  /** Forgets peers whose slots are free: silent towards every entry that is heard. */
  void expire(long now) {
    forgotten.values().removeIf(at -> now - at > handoverNanos);
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      peer.resting &= peer.restUntil - now > 0;
      if (isSilent(peer, now)) {
        forgotten.put(entry.getKey(), now);
      }
    }
    peers.keySet().removeAll(forgotten.keySet());
  }

  private boolean isSilent(Peer peer, long now) {
    return now - peer.heardAt > handoverNanos && now - peer.vouchedAt > handoverNanos;
  }

  /** The VMs that should share the slots: those heard from or listed, but for draining ones. */
  List<String> sharing() {
    List<String> vms = new ArrayList<>();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.last != null && !peer.draining) {
        vms.add(entry.getKey());
      }
    }
    return vms;
  }

  /** What this entry has seen of each peer. */
  List<SlotAnnouncement.Ack> acks(long now, long freshNanos) {
    List<SlotAnnouncement.Ack> acks = new ArrayList<>();
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.last != null && now - peer.heardAt <= freshNanos) {
        long epoch = peer.resting ? -1 : peer.last.epoch();
        acks.add(new SlotAnnouncement.Ack(entry.getKey(), peer.last.incarnation(), epoch));
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
      if (peer.hasGivenUp() && !peer.resting) {
        continue;
      }
      all.add(peer.resting ? Optional.empty() : Optional.ofNullable(peer.last));
    }
    return all;
  }

  /** One peer. */
  private static final class Peer {
    private final List<String> former = new ArrayList<>();
    private SlotAnnouncement last;
    private boolean draining;
    private long heardAt;
    private long vouchedAt;
    private long restUntil;
    private boolean resting;

    /** Tells whether it drained and holds no slot any more; it will not ask for one again. */
    boolean hasGivenUp() {
      return last != null && draining && !last.vms().contains(last.vm());
    }

    Peer(long now) {
      heardAt = now;
      vouchedAt = now;
    }
  }
}
