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
 * The executors' slots that one entry may use.
 *
 * <p>The entry divides the slots over a set of entry VMs, the owner VMs, and announces the set to
 * its peers with an epoch. A slot that the entry gains is confirmed, and may be used, only once
 * every peer has acknowledged the epoch and has announced a set by which this entry owns the slot.
 * A slot that it loses is released in two steps: first no new request uses the slot, then the new
 * set is announced once no request or loan uses any such slot. Two entries therefore never use one
 * slot at the same time, however much their views differ and however many messages are late or
 * lost; see docs/design/slots.md for the proof and its assumptions.
 */
public final class SlotShares {
  private static final int CONNECTIONS_PER_EXECUTOR = 64;

  /**
   * The upper bits of a loan number depend on the incarnation, so that restarts do not reuse it.
   */
  private static final int LOAN_ID_BITS = 32;

  /** A lent slot stays blocked for the lease plus the lease divided by this value. */
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
   * Creates an instance without slots.
   *
   * @param vm VM of this entry
   * @param incarnation incarnation of this entry
   * @param slotsPerExecutor number of slots of each executor
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
   * Updates the entry VMs and the usable executors from the VM list.
   *
   * @param entryVms entry VMs, including those about to be removed
   * @param usable identifiers of the executors that may get new requests
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
   * Handles a peer's announcement.
   *
   * @param announcement the announcement
   * @param peerDraining whether the peer is releasing its slots
   * @param now monotonic time in nanoseconds
   */
  public void receiveAnnouncement(SlotAnnouncement announcement, boolean peerDraining, long now) {
    if (!announcement.vm().equals(vm)
        && peers.receiveAnnouncement(announcement, peerDraining, now)) {
      settled = false;
    }
  }

  /** Releases all own slots as their requests end; borrowed slots may still be used. */
  public void drain() {
    draining = true;
  }

  /**
   * Advances the protocol: detects a pause of this process, removes silent peers and expired loans,
   * changes the owner VMs and confirms slots. Slots can be acquired or lent only if the last step
   * is recent.
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

  /** Sets as owned the slots that this entry owns by both the current and the target owner VMs. */
  private void updateOwned(String executor, ExecutorSlots slots) {
    for (int slot = 0; slot < slotsPerExecutor; slot++) {
      boolean isCurrentOwner = owners.isOwner(vm, ownerVms, executor, slot);
      slots.setOwned(slot, isCurrentOwner && owners.isOwner(vm, targetOwnerVms, executor, slot));
    }
  }

  /** Makes the target owner VMs the current ones, unless a slot to be released is still in use. */
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

  /** Confirms the owned slots on which all peers agree. */
  private void confirmSlots() {
    List<Optional<SlotAnnouncement>> lastAnnouncements = peers.announcements();
    for (Optional<SlotAnnouncement> peerAnnouncement : lastAnnouncements) {
      if (peerAnnouncement.isEmpty() || !acknowledgesEpoch(peerAnnouncement.get())) {
        return;
      }
    }
    boolean allConfirmed = true;
    for (String executor : listedExecutors) {
      ExecutorSlots slots = executors.get(executor);
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        if (slots.isOwned(slot) && !slots.isConfirmed(slot)) {
          if (isAssignedByAll(lastAnnouncements, executor, slot)) {
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

  /** Returns whether this entry owns the slot by the owner VMs of every peer. */
  private boolean isAssignedByAll(
      List<Optional<SlotAnnouncement>> lastAnnouncements, String executor, int slot) {
    for (Optional<SlotAnnouncement> peerAnnouncement : lastAnnouncements) {
      List<String> peerOwnerVms = peerAnnouncement.orElseThrow().ownerVms();
      if (!owners.isOwner(vm, peerOwnerVms, executor, slot)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Creates the next announcement.
   *
   * @param now monotonic time in nanoseconds
   * @return the announcement to send to all peers
   */
  public SlotAnnouncement announce(long now) {
    sequence++;
    return new SlotAnnouncement(
        vm, incarnation, sequence, epoch, ownerVms, peers.acks(now, timing.handoverNanos() / 2));
  }

  /**
   * Acquires a slot of an executor, preferably an own one rather than a borrowed one.
   *
   * @param executor identifier of the executor
   * @param neededNanos longest time for which the slot is needed, in nanoseconds
   * @param now monotonic time in nanoseconds
   * @return the slot, or empty if none may be used
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
    Optional<ExecutorSlots.BorrowedSlot> freeBorrowed = slots.findFreeBorrowed(now, neededNanos);
    freeBorrowed.ifPresent(borrowedSlot -> borrowedSlot.busy = true);
    return freeBorrowed.map(
        borrowedSlot ->
            new SlotTicket(
                executor, borrowedSlot.loan.slot(), borrowedSlot.lender, borrowedSlot.loan.id()));
  }

  /** Returns the slots of an executor; the object stays the same while the executor is listed. */
  ExecutorSlots slots(String executor, long now) {
    return executors.computeIfAbsent(executor, id -> newExecutor(id, now));
  }

  /**
   * Returns the maximum number of concurrent requests of this entry on one executor, so that the
   * executor's connections suffice for all entries.
   */
  int connectionLimit() {
    return Math.max(1, CONNECTIONS_PER_EXECUTOR / Math.max(1, ownerVms.size()));
  }

  /**
   * Releases a slot.
   *
   * @param ticket the slot
   * @param blockNanos time for which the executor may still be busy with the request, in
   *     nanoseconds; 0 if the request is known to have ended
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
   * Lends free slots.
   *
   * @param maxSlots maximum number of slots to lend
   * @param usable returns whether slots of an executor are worth lending
   * @param now monotonic time in nanoseconds
   * @return the lent slots, which count as in use until they are returned or the lease ends
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
   * Ends loans before they expire.
   *
   * @param returned the loans whose slots the borrower has returned
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
   * Adds slots that a peer has lent.
   *
   * @param lender VM of the lender
   * @param lent the slots
   * @param requestedAt monotonic time at which this entry requested the loan, in nanoseconds
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
   * Removes and returns all idle borrowed slots, so that they can be returned to their lenders.
   *
   * @return the slots by the VM of the lender
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
   * Returns the number of this entry's free own slots.
   *
   * @param now monotonic time in nanoseconds
   * @return number of slots
   */
  public int freeOwnedCount(long now) {
    int free = 0;
    for (String executor : listedExecutors) {
      free += executors.get(executor).freeCount(now);
    }
    return free;
  }

  /**
   * Returns the number of confirmed slots, whether free or in use.
   *
   * @return number of slots
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
   * Returns whether all slots that this entry owns are confirmed.
   *
   * @return whether they are; false while the peers have not agreed to the owner VMs
   */
  public boolean isSettled() {
    return settled;
  }

  /**
   * Returns the number of this entry's requests on an executor.
   *
   * @param executor identifier of the executor
   * @return number of requests
   */
  public int requestCount(String executor) {
    ExecutorSlots slots = executors.get(executor);
    return slots == null ? 0 : slots.busyCount();
  }

  /**
   * Returns the epoch of the current owner VMs.
   *
   * @return the epoch
   */
  public long epoch() {
    return epoch;
  }

  /**
   * Returns the VMs over which this entry divides the slots.
   *
   * @return the entry VMs, sorted
   */
  public List<String> ownerVms() {
    return ownerVms;
  }
}
