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
import org.lavenderstage.entry.peer.SlotBoard;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.LentSlot;
import org.lavenderstage.wire.peer.SlotAck;
import org.lavenderstage.wire.peer.SlotState;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** This entry's slots: reads the VM list into them and tells the peers. Used by one thread. */
final class SlotKeeper {
  static final int SLOTS_PER_EXECUTOR = 8;
  private static final long LEAVING_MARK_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long BORROWING_START_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
  private static final long PUBLISH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final String vm;
  private final String incarnation;
  private final VmDirectory directory;
  private final SlotBoard board;
  private final SlotTiming timing;
  private final SlotShares shares;
  private final Map<String, Long> leavingUntil = new HashMap<>();
  private final Map<String, Long> peerEpochs = new HashMap<>();
  private List<VmEntry> executors = List.of();
  private Set<String> listedLeaving = new HashSet<>();
  private long steppedNanos = System.nanoTime();
  private long publishedNanos = System.nanoTime();
  private long publishedEpoch;
  private boolean urgent = true;
  private boolean refreshed;
  private long firstRefreshNanos;
  private boolean stepDue;
  private boolean draining;

  SlotKeeper(
      String vm, String incarnation, VmDirectory directory, SlotBoard board, SlotTiming timing) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.directory = directory;
    this.board = board;
    this.timing = timing;
    this.shares = new SlotShares(vm, incarnation, SLOTS_PER_EXECUTOR, timing, System.nanoTime());
  }

  SlotShares shares() {
    return shares;
  }

  /** The executors that may get new work. */
  List<VmEntry> executors() {
    return executors;
  }

  /** Reads the VM list as last known; executors that a peer read as leaving get no new work. */
  void refresh(long now) {
    if (!directory.isKnown()) {
      return;
    }
    List<String> entries = directory.vms(VmRole.ENTRY).stream().map(VmEntry::id).toList();
    Set<String> leaving = new HashSet<>();
    List<VmEntry> usable = new ArrayList<>();
    leavingUntil.values().removeIf(until -> until - now <= 0);
    for (VmEntry executor : directory.vms(VmRole.EXECUTOR)) {
      if (executor.leaving()) {
        leaving.add(executor.id());
      } else if (!leavingUntil.containsKey(executor.id())) {
        usable.add(executor);
      }
    }
    urgent |= !leaving.equals(listedLeaving);
    listedLeaving = leaving;
    if (!refreshed) {
      refreshed = true;
      firstRefreshNanos = now;
    }
    executors = List.copyOf(usable);
    shares.updateVms(entries, usable.stream().map(VmEntry::id).toList(), now);
  }

  /**
   * Tells whether all own slots may be used, or there is no executor at all. An entry whose peers
   * do not agree in time, such as the replacement of a dead one, begins with borrowed slots.
   */
  boolean hasSlots(long now) {
    return refreshed
        && (executors.isEmpty()
            || shares.isSettled()
            || now - firstRefreshNanos > BORROWING_START_NANOS);
  }

  void step(long now) {
    if (!stepDue && now - steppedNanos < STEP_NANOS) {
      return;
    }
    stepDue = false;
    if (now - steppedNanos > timing.maxStepGapNanos()) {
      EventLog.warn(
          LogEvent.DISPATCH_FROZEN, "millis", TimeUnit.NANOSECONDS.toMillis(now - steppedNanos));
    }
    steppedNanos = now;
    shares.step(now);
  }

  void drain() {
    draining = true;
    urgent = true;
    shares.drain();
  }

  /** Tells the board the present state, urgently where the peers wait for it. */
  void publish(long now) {
    if (!urgent && shares.epoch() == publishedEpoch && now - publishedNanos < PUBLISH_NANOS) {
      return;
    }
    boolean changed = urgent || shares.epoch() != publishedEpoch;
    SlotAnnouncement said = shares.announce(now);
    List<SlotAck> acks =
        said.acks().stream()
            .map(ack -> new SlotAck(ack.vm(), ack.incarnation(), ack.epoch()))
            .toList();
    SlotState state =
        new SlotState(
            vm,
            incarnation,
            said.sequence(),
            said.epoch(),
            said.vms(),
            acks,
            shares.freeOwnedCount(now),
            draining,
            List.copyOf(listedLeaving));
    board.publish(state, changed);
    publishedEpoch = shares.epoch();
    publishedNanos = now;
    urgent = false;
  }

  void heard(SlotState state, long now) {
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
    Long former = peerEpochs.put(state.incarnation(), state.epoch());
    urgent |= former == null || former != state.epoch();
    for (String executor : state.leavingExecutors()) {
      leavingUntil.put(executor, now + LEAVING_MARK_NANOS);
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
