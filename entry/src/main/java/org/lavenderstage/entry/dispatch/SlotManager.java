package org.lavenderstage.entry.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.routing.SlotAnnouncement;
import org.lavenderstage.core.routing.SlotLoan;
import org.lavenderstage.core.routing.SlotShares;
import org.lavenderstage.core.routing.SlotTiming;
import org.lavenderstage.entry.peer.PublishedSlotState;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.LentSlot;
import org.lavenderstage.wire.peer.SlotAck;
import org.lavenderstage.wire.peer.SlotState;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/**
 * Manages this entry's slots: updates them from the VM list and from peers' announcements, and
 * publishes their state for the peers. Used by the dispatcher thread only.
 */
final class SlotManager {
  static final int SLOTS_PER_EXECUTOR = 8;

  /** For this time after a peer's report an executor counts as about to be removed. */
  private static final long PEER_LEAVING_REPORT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** After this time without all its own slots, an entry becomes ready with borrowed slots. */
  private static final long MAX_OWN_SLOTS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long STEP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long PUBLISH_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final String vm;
  private final String incarnation;
  private final VmDirectory directory;
  private final PublishedSlotState publishedState;
  private final SlotTiming timing;
  private final SlotShares shares;
  private final Map<String, Long> reportedLeavingUntil = new HashMap<>();
  private final Map<String, Long> peerEpochs = new HashMap<>();
  private List<VmEntry> executors = List.of();
  private Set<String> listedLeaving = new HashSet<>();
  private long lastStepNanos = System.nanoTime();
  private long lastPublishNanos = System.nanoTime();
  private long publishedEpoch;
  private boolean publishNow = true;
  private boolean hasVmList;
  private long firstRefreshNanos;
  private boolean stepDue;
  private boolean draining;

  SlotManager(
      String vm,
      String incarnation,
      VmDirectory directory,
      PublishedSlotState publishedState,
      SlotTiming timing) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.directory = directory;
    this.publishedState = publishedState;
    this.timing = timing;
    this.shares = new SlotShares(vm, incarnation, SLOTS_PER_EXECUTOR, timing, System.nanoTime());
  }

  SlotShares shares() {
    return shares;
  }

  /** Returns the executors that may get new requests. */
  List<VmEntry> executors() {
    return executors;
  }

  /**
   * Updates the executors and entries from the last known VM list. Executors that a peer has
   * reported as about to be removed get no new requests.
   */
  void refresh(long now) {
    if (!directory.isLoaded()) {
      return;
    }
    List<String> entries = directory.vms(VmRole.ENTRY).stream().map(VmEntry::id).toList();
    Set<String> leaving = new HashSet<>();
    List<VmEntry> usable = new ArrayList<>();
    reportedLeavingUntil.values().removeIf(until -> until - now <= 0);
    for (VmEntry executor : directory.vms(VmRole.EXECUTOR)) {
      if (executor.leaving()) {
        leaving.add(executor.id());
      } else if (!reportedLeavingUntil.containsKey(executor.id())) {
        usable.add(executor);
      }
    }
    publishNow |= !leaving.equals(listedLeaving);
    listedLeaving = leaving;
    if (!hasVmList) {
      hasVmList = true;
      firstRefreshNanos = now;
    }
    executors = List.copyOf(usable);
    shares.updateVms(entries, usable.stream().map(VmEntry::id).toList(), now);
  }

  /**
   * Returns whether all own slots may be used, or there are no executors at all. An entry whose
   * peers do not agree in time, such as the replacement of a dead one, starts with borrowed slots.
   */
  boolean hasSlots(long now) {
    return hasVmList
        && (executors.isEmpty()
            || shares.isSettled()
            || now - firstRefreshNanos > MAX_OWN_SLOTS_WAIT_NANOS);
  }

  void step(long now) {
    if (!stepDue && now - lastStepNanos < STEP_INTERVAL_NANOS) {
      return;
    }
    stepDue = false;
    if (now - lastStepNanos > timing.maxStepGapNanos()) {
      EventLog.warn(
          LogEvent.DISPATCH_FROZEN, "millis", TimeUnit.NANOSECONDS.toMillis(now - lastStepNanos));
    }
    lastStepNanos = now;
    shares.step(now);
  }

  void drain() {
    draining = true;
    publishNow = true;
    shares.drain();
  }

  /** Publishes the current state periodically, and at once if the peers wait for a change. */
  void publish(long now) {
    if (!publishNow
        && shares.epoch() == publishedEpoch
        && now - lastPublishNanos < PUBLISH_INTERVAL_NANOS) {
      return;
    }
    boolean changed = publishNow || shares.epoch() != publishedEpoch;
    SlotAnnouncement announcement = shares.announce(now);
    List<SlotAck> acks =
        announcement.acks().stream()
            .map(ack -> new SlotAck(ack.vm(), ack.incarnation(), ack.epoch()))
            .toList();
    SlotState state =
        new SlotState(
            vm,
            incarnation,
            announcement.sequence(),
            announcement.epoch(),
            announcement.ownerVms(),
            acks,
            shares.freeOwnedCount(now),
            draining,
            List.copyOf(listedLeaving));
    publishedState.publish(state, changed);
    publishedEpoch = shares.epoch();
    lastPublishNanos = now;
    publishNow = false;
  }

  void receivePeerState(SlotState state, long now) {
    List<SlotAnnouncement.Ack> acks =
        state.acks().stream()
            .map(ack -> new SlotAnnouncement.Ack(ack.vm(), ack.incarnation(), ack.epoch()))
            .toList();
    shares.receiveAnnouncement(
        new SlotAnnouncement(
            state.vm(), state.incarnation(), state.sequence(), state.epoch(), state.vms(), acks),
        state.draining(),
        now);
    stepDue = true;
    Long previousEpoch = peerEpochs.put(state.incarnation(), state.epoch());
    publishNow |= previousEpoch == null || previousEpoch != state.epoch();
    for (String executor : state.leavingExecutors()) {
      reportedLeavingUntil.put(executor, now + PEER_LEAVING_REPORT_NANOS);
    }
  }

  static List<LentSlot> toWire(List<SlotLoan> loans) {
    return loans.stream()
        .map(loan -> new LentSlot(loan.executor(), loan.slot(), loan.id()))
        .toList();
  }

  static List<SlotLoan> fromWire(List<LentSlot> loans) {
    return loans.stream()
        .map(loan -> new SlotLoan(loan.executor(), loan.slot(), loan.id()))
        .toList();
  }
}
