package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * One entry's share of the executors' slots.
 *
 * <p>The entry divides the slots over a set of entry VMs and tells its peers the set with an epoch.
 * A slot that it gains may be used only once every peer has acknowledged the epoch and has told a
 * set by which the slot is this entry's. A slot that it loses is given up in two steps: no new
 * request uses it, and the new set is told only when no request or loan holds such a slot. So two
 * entries never use one slot at a time, however their views differ and however late or lossy the
 * messages are; see docs/design/slots.md for the proof and its assumptions.
 */
public final class SlotShares {
  private static final int CONNECTIONS_PER_EXECUTOR = 64;
  private static final int LOAN_ID_BITS = 32;
  private static final int LOAN_MARGIN_DIVISOR = 16;

  private final String vm;
  private final String incarnation;
  private final int slotsPerExecutor;
  private final SlotTiming timing;
  private final SlotPeers peers;
  private final Map<String, ExecutorSlots> executors = new LinkedHashMap<>();
  private final SlotOwnerCache owners;
  private Set<String> listedExecutors = new LinkedHashSet<>();
  private List<String> ownerVms = List.of();
  private List<String> targetOwnerVms = List.of();
  private long epoch = 1;
  private long sequence;
  private long lastLoanId;
  private long lastStepAt;
  private long firstVmListAt;
  private boolean hasVmList;
  private boolean draining;
  private boolean settled;

  /**
   * Makes a share without slots.
   *
   * @param vm VM of this entry
   * @param incarnation incarnation of this entry
   * @param slotsPerExecutor count of an executor's slots
   * @param timing times of the protocol
   * @param now monotonic time in nanoseconds
   */
  public SlotShares(
      String vm, String incarnation, int slotsPerExecutor, SlotTiming timing, long now) {
    this.vm = vm;
    this.incarnation = incarnation;
    this.slotsPerExecutor = slotsPerExecutor;
    this.timing = timing;
    this.owners = new SlotOwnerCache(slotsPerExecutor);
    this.peers = new SlotPeers(vm, timing.handoverNanos());
    this.lastStepAt = now;
    this.lastLoanId = (long) incarnation.hashCode() << LOAN_ID_BITS;
  }

  /**
   * Takes the VM list.
   *
   * @param entryVms entry VMs, leaving ones among them
   * @param usable executors that may get new work
   * @param now monotonic time in nanoseconds
   */
  public void updateVms(List<String> entryVms, List<String> usable, long now) {
    if (!hasVmList) {
      hasVmList = true;
      firstVmListAt = now;
    }
    peers.updateVms(entryVms, now);
    Set<String> next = new LinkedHashSet<>(usable);
    if (!next.equals(listedExecutors)) {
      listedExecutors = next;
      for (String executor : usable) {
        executors.computeIfAbsent(executor, id -> newExecutor(id, now));
      }
      executors
          .entrySet()
          .removeIf(e -> !listedExecutors.contains(e.getKey()) && e.getValue().isIdle(now));
      settled = false;
    }
  }

  private ExecutorSlots newExecutor(String id, long now) {
    ExecutorSlots slots = new ExecutorSlots(slotsPerExecutor, now);
    updateOwned(id, slots);
    return slots;
  }

  /**
   * Takes a peer's announcement.
   *
   * @param announcement the announcement
   * @param peerDraining whether the peer gives its slots up
   * @param now monotonic time in nanoseconds
   */
  public void receiveAnnouncement(SlotAnnouncement announcement, boolean peerDraining, long now) {
    if (!announcement.vm().equals(vm)
        && peers.receiveAnnouncement(announcement, peerDraining, now)) {
      settled = false;
    }
  }

  /** Gives all slots up as their requests end; borrowed ones may still be used. */
  public void drain() {
    draining = true;
  }

  /**
   * Moves on with time: notices a gap, silent peers, a change of the set and slots gained. A slot
   * is given out only after a step at about the same time.
   *
   * @param now monotonic time in nanoseconds
   */
  public void step(long now) {
    if (now - lastStepAt > timing.maxStepGapNanos()) {
      executors.values().forEach(ExecutorSlots::clearConfirmed);
      peers.restartSilenceTimers(now);
      epoch++;
      settled = false;
    }
    lastStepAt = now;
    peers.expire(now);
    updateTargetOwners();
    if (!targetOwnerVms.equals(ownerVms)) {
      tryChangeOwners(now);
    }
    if (!settled && hasVmList && now - firstVmListAt >= timing.startDelayNanos()) {
      confirmSlots();
    }
    executors.values().forEach(slots -> slots.expireBorrowed(now));
  }

  private void updateTargetOwners() {
    List<String> newTarget = peers.activeVms();
    if (!draining) {
      newTarget.add(vm);
    }
    newTarget.sort(null);
    if (!newTarget.equals(targetOwnerVms)) {
      targetOwnerVms = List.copyOf(newTarget);
      settled = false;
      for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
        updateOwned(entry.getKey(), entry.getValue());
      }
    }
  }

  private void updateOwned(String executor, ExecutorSlots slots) {
    for (int slot = 0; slot < slotsPerExecutor; slot++) {
      boolean isCurrentOwner = owners.isOwner(vm, ownerVms, executor, slot);
      slots.setOwned(slot, isCurrentOwner && owners.isOwner(vm, targetOwnerVms, executor, slot));
    }
  }

  private void tryChangeOwners(long now) {
    for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        if (!entry.getValue().isOwned(slot) && entry.getValue().isInUse(slot, now)) {
          return;
        }
      }
    }
    ownerVms = targetOwnerVms;
    epoch++;
    settled = false;
    for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
      updateOwned(entry.getKey(), entry.getValue());
    }
  }

  private void confirmSlots() {
    List<Optional<SlotAnnouncement>> announcements = peers.announcements();
    for (Optional<SlotAnnouncement> announcement : announcements) {
      if (announcement.isEmpty() || !acknowledgesEpoch(announcement.get())) {
        return;
      }
    }
    boolean allConfirmed = true;
    for (String executor : listedExecutors) {
      ExecutorSlots slots = executors.get(executor);
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        if (slots.isOwned(slot) && !slots.isConfirmed(slot)) {
          if (isAssignedByAll(announcements, executor, slot)) {
            slots.confirm(slot);
          } else {
            allConfirmed = false;
          }
        }
      }
    }
    settled = allConfirmed && targetOwnerVms.equals(ownerVms);
  }

  private boolean acknowledgesEpoch(SlotAnnouncement announcement) {
    Optional<SlotAnnouncement.Ack> ack = announcement.ack(vm);
    return ack.isPresent()
        && ack.get().incarnation().equals(incarnation)
        && ack.get().epoch() >= epoch;
  }

  /** Tells whether every peer's set gives the slot to this entry. */
  private boolean isAssignedByAll(
      List<Optional<SlotAnnouncement>> announcements, String executor, int slot) {
    for (Optional<SlotAnnouncement> announcement : announcements) {
      List<String> peerOwnerVms = announcement.orElseThrow().ownerVms();
      if (!owners.isOwner(vm, peerOwnerVms, executor, slot)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Makes the next announcement.
   *
   * @param now monotonic time in nanoseconds
   * @return what the peers are told
   */
  public SlotAnnouncement announce(long now) {
    sequence++;
    return new SlotAnnouncement(
        vm, incarnation, sequence, epoch, ownerVms, peers.acks(now, timing.handoverNanos() / 2));
  }

  /**
   * Takes a slot of an executor, an own one before a borrowed one.
   *
   * @param executor identifier of the executor
   * @param neededNanos longest time for which the slot is needed in nanoseconds
   * @param now monotonic time in nanoseconds
   * @return the slot, empty where none may be used
   */
  public Optional<SlotTicket> acquire(String executor, long neededNanos, long now) {
    ExecutorSlots slots = executors.get(executor);
    if (slots == null
        || !listedExecutors.contains(executor)
        || now - lastStepAt > timing.maxStepGapNanos()) {
      return Optional.empty();
    }
    int slot = slots.findFreeSlot(now);
    if (slot >= 0) {
      slots.acquire(slot);
      return Optional.of(new SlotTicket(executor, slot, "", 0));
    }
    Optional<ExecutorSlots.BorrowedSlot> loan = slots.findFreeBorrowed(now, neededNanos);
    loan.ifPresent(borrowed -> borrowed.busy = true);
    return loan.map(
        borrowed ->
            new SlotTicket(executor, borrowed.loan.slot(), borrowed.lender, borrowed.loan.id()));
  }

  /** Returns the slots of an executor; they stay the same object while the executor is listed. */
  ExecutorSlots slots(String executor, long now) {
    return executors.computeIfAbsent(executor, id -> newExecutor(id, now));
  }

  /** Counts the requests that one entry may have on one executor, so that connections suffice. */
  int connectionLimit() {
    return Math.max(1, CONNECTIONS_PER_EXECUTOR / Math.max(1, ownerVms.size()));
  }

  /**
   * Gives a slot back.
   *
   * @param ticket the slot
   * @param blockNanos time for which the executor may still be busy with the request in
   *     nanoseconds; 0 where it has surely ended
   * @param now monotonic time in nanoseconds
   */
  public void release(SlotTicket ticket, long blockNanos, long now) {
    ExecutorSlots slots = executors.get(ticket.executor());
    if (slots == null) {
      return;
    }
    if (ticket.isOwn()) {
      slots.release(ticket.slot(), now + blockNanos);
    } else {
      slots.releaseBorrowed(ticket.lender(), ticket.loanId(), blockNanos > 0);
    }
  }

  /**
   * Lends idle slots.
   *
   * @param maxSlots most slots to lend
   * @param usable executors that are worth lending
   * @param now monotonic time in nanoseconds
   * @return the slots lent, which count as in use until they are returned or the lease ends
   */
  public List<SlotLoan> lend(int maxSlots, Predicate<String> usable, long now) {
    List<SlotLoan> lent = new ArrayList<>();
    if (now - lastStepAt > timing.maxStepGapNanos()) {
      return lent;
    }
    long until = now + timing.leaseNanos() + timing.leaseNanos() / LOAN_MARGIN_DIVISOR;
    for (String executor : listedExecutors) {
      ExecutorSlots slots = executors.get(executor);
      if (lent.size() < maxSlots && usable.test(executor)) {
        int slot = slots.findFreeSlot(now);
        if (slot >= 0) {
          lastLoanId++;
          slots.lend(slot, lastLoanId, until);
          lent.add(new SlotLoan(executor, slot, lastLoanId));
        }
      }
    }
    return lent;
  }

  /**
   * Takes lent slots back.
   *
   * @param returned the slots that their borrower has returned
   * @param now monotonic time in nanoseconds
   */
  public void endLoans(List<SlotLoan> returned, long now) {
    for (SlotLoan loan : returned) {
      ExecutorSlots slots = executors.get(loan.executor());
      if (slots != null) {
        slots.endLoan(loan.slot(), loan.id(), now);
      }
    }
  }

  /**
   * Takes borrowed slots.
   *
   * @param lender VM of the lender
   * @param lent the slots
   * @param requestedAt monotonic time at which this entry asked, in nanoseconds
   */
  public void addBorrowed(String lender, List<SlotLoan> lent, long requestedAt) {
    long until = requestedAt + timing.leaseNanos();
    for (SlotLoan loan : lent) {
      executors
          .computeIfAbsent(loan.executor(), id -> newExecutor(id, requestedAt))
          .addBorrowed(new ExecutorSlots.BorrowedSlot(lender, loan, until));
    }
  }

  /**
   * Takes out all borrowed slots that are idle, so that they can be returned.
   *
   * @return the slots by the VM of their lender
   */
  public Map<String, List<SlotLoan>> removeIdleBorrowed() {
    Map<String, List<SlotLoan>> idle = new TreeMap<>();
    for (ExecutorSlots slots : executors.values()) {
      for (ExecutorSlots.BorrowedSlot loan : slots.removeIdleBorrowed()) {
        idle.computeIfAbsent(loan.lender, lender -> new ArrayList<>()).add(loan.loan);
      }
    }
    return idle;
  }

  /**
   * Counts this entry's free own slots.
   *
   * @param now monotonic time in nanoseconds
   * @return the count
   */
  public int freeOwnedCount(long now) {
    int free = 0;
    for (String executor : listedExecutors) {
      free += executors.get(executor).freeCount(now);
    }
    return free;
  }

  /**
   * Counts this entry's slots that may be used or are in use.
   *
   * @return the count
   */
  public int confirmedCount() {
    int count = 0;
    for (String executor : listedExecutors) {
      ExecutorSlots slots = executors.get(executor);
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        count += slots.isConfirmed(slot) ? 1 : 0;
      }
    }
    return count;
  }

  /**
   * Tells whether every slot that belongs to this entry may be used.
   *
   * @return false while peers have not agreed to the set
   */
  public boolean isSettled() {
    return settled;
  }

  /**
   * Counts this entry's requests on an executor.
   *
   * @param executor identifier of the executor
   * @return the count
   */
  public int busyCount(String executor) {
    ExecutorSlots slots = executors.get(executor);
    return slots == null ? 0 : slots.busyCount();
  }

  /**
   * Returns the number of the set in force.
   *
   * @return the epoch
   */
  public long epoch() {
    return epoch;
  }

  /**
   * Returns the set over which this entry divides the slots.
   *
   * @return the entry VMs, sorted
   */
  public List<String> ownerVms() {
    return ownerVms;
  }
}
