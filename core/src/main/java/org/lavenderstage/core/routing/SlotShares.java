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
  private final SlotOwnerTable owners;
  private Set<String> listed = new LinkedHashSet<>();
  private List<String> vms = List.of();
  private List<String> target = List.of();
  private long epoch = 1;
  private long sequence;
  private long loans;
  private long steppedAt;
  private long listedAt;
  private boolean isListed;
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
    this.owners = new SlotOwnerTable(slotsPerExecutor);
    this.peers = new SlotPeers(vm, timing.handoverNanos());
    this.steppedAt = now;
    this.loans = (long) incarnation.hashCode() << LOAN_ID_BITS;
  }

  /**
   * Takes the VM list.
   *
   * @param entryVms entry VMs, leaving ones among them
   * @param usable executors that may get new work
   * @param now monotonic time in nanoseconds
   */
  public void updateVms(List<String> entryVms, List<String> usable, long now) {
    if (!isListed) {
      isListed = true;
      listedAt = now;
    }
    peers.list(entryVms, now);
    Set<String> next = new LinkedHashSet<>(usable);
    if (!next.equals(listed)) {
      listed = next;
      for (String executor : usable) {
        executors.computeIfAbsent(executor, id -> newExecutor(id, now));
      }
      executors.entrySet().removeIf(e -> !listed.contains(e.getKey()) && e.getValue().isIdle(now));
      settled = false;
    }
  }

  private ExecutorSlots newExecutor(String id, long now) {
    ExecutorSlots slots = new ExecutorSlots(slotsPerExecutor, now);
    narrow(id, slots);
    return slots;
  }

  /**
   * Takes a peer's announcement.
   *
   * @param said the announcement
   * @param peerDraining whether the peer gives its slots up
   * @param now monotonic time in nanoseconds
   */
  public void receiveAnnouncement(SlotAnnouncement said, boolean peerDraining, long now) {
    if (!said.vm().equals(vm) && peers.heard(said, peerDraining, now)) {
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
    if (now - steppedAt > timing.maxStepGapNanos()) {
      executors.values().forEach(ExecutorSlots::dropEstablished);
      peers.restartSilences(now);
      epoch++;
      settled = false;
    }
    steppedAt = now;
    peers.expire(now);
    updateTarget();
    if (!target.equals(vms)) {
      changeSet(now);
    }
    if (!settled && isListed && now - listedAt >= timing.startDelayNanos()) {
      establish();
    }
    executors.values().forEach(slots -> slots.expireLoans(now));
  }

  private void updateTarget() {
    List<String> wanted = peers.sharing();
    if (!draining) {
      wanted.add(vm);
    }
    wanted.sort(null);
    if (!wanted.equals(target)) {
      target = List.copyOf(wanted);
      settled = false;
      for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
        narrow(entry.getKey(), entry.getValue());
      }
    }
  }

  private void narrow(String executor, ExecutorSlots slots) {
    for (int slot = 0; slot < slotsPerExecutor; slot++) {
      boolean before = owners.isOwner(vm, vms, executor, slot);
      slots.own(slot, before && owners.isOwner(vm, target, executor, slot));
    }
  }

  private void changeSet(long now) {
    for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        if (!entry.getValue().isOwned(slot) && entry.getValue().isHeld(slot, now)) {
          return;
        }
      }
    }
    vms = target;
    epoch++;
    settled = false;
    for (Map.Entry<String, ExecutorSlots> entry : executors.entrySet()) {
      narrow(entry.getKey(), entry.getValue());
    }
  }

  private void establish() {
    List<Optional<SlotAnnouncement>> said = peers.announcements();
    for (Optional<SlotAnnouncement> one : said) {
      if (one.isEmpty() || !acknowledges(one.get())) {
        return;
      }
    }
    boolean all = true;
    for (String executor : listed) {
      ExecutorSlots slots = executors.get(executor);
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        if (slots.isOwned(slot) && !slots.isEstablished(slot)) {
          if (isGrantedByAll(said, executor, slot)) {
            slots.establish(slot);
          } else {
            all = false;
          }
        }
      }
    }
    settled = all && target.equals(vms);
  }

  private boolean acknowledges(SlotAnnouncement said) {
    Optional<SlotAnnouncement.Ack> ack = said.ack(vm);
    return ack.isPresent()
        && ack.get().incarnation().equals(incarnation)
        && ack.get().epoch() >= epoch;
  }

  /** Tells whether every peer's set gives the slot to this entry. */
  private boolean isGrantedByAll(List<Optional<SlotAnnouncement>> said, String executor, int slot) {
    for (Optional<SlotAnnouncement> one : said) {
      List<String> set = one.orElseThrow().vms();
      if (!owners.isOwner(vm, set, executor, slot)) {
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
        vm, incarnation, sequence, epoch, vms, peers.acks(now, timing.handoverNanos() / 2));
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
    if (slots == null || !listed.contains(executor) || now - steppedAt > timing.maxStepGapNanos()) {
      return Optional.empty();
    }
    int slot = slots.freeSlot(now);
    if (slot >= 0) {
      slots.take(slot);
      return Optional.of(new SlotTicket(executor, slot, "", 0));
    }
    Optional<ExecutorSlots.Borrowed> loan = slots.freeBorrowed(now, neededNanos);
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
    return Math.max(1, CONNECTIONS_PER_EXECUTOR / Math.max(1, vms.size()));
  }

  /**
   * Gives a slot back.
   *
   * @param ticket the slot
   * @param restNanos time for which the executor may still be busy with the request in nanoseconds;
   *     0 where it has surely ended
   * @param now monotonic time in nanoseconds
   */
  public void release(SlotTicket ticket, long restNanos, long now) {
    ExecutorSlots slots = executors.get(ticket.executor());
    if (slots == null) {
      return;
    }
    if (ticket.isOwn()) {
      slots.release(ticket.slot(), now + restNanos);
    } else {
      slots.releaseBorrowed(ticket.lender(), ticket.loanId(), restNanos > 0);
    }
  }

  /**
   * Lends idle slots.
   *
   * @param most most slots to lend
   * @param usable executors that are worth lending
   * @param now monotonic time in nanoseconds
   * @return the slots lent, which count as in use until they are returned or the lease ends
   */
  public List<SlotLoan> lend(int most, Predicate<String> usable, long now) {
    List<SlotLoan> lent = new ArrayList<>();
    if (now - steppedAt > timing.maxStepGapNanos()) {
      return lent;
    }
    long until = now + timing.leaseNanos() + timing.leaseNanos() / LOAN_MARGIN_DIVISOR;
    for (String executor : listed) {
      ExecutorSlots slots = executors.get(executor);
      if (lent.size() < most && usable.test(executor)) {
        int slot = slots.freeSlot(now);
        if (slot >= 0) {
          loans++;
          slots.lend(slot, loans, until);
          lent.add(new SlotLoan(executor, slot, loans));
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
        slots.takeBack(loan.slot(), loan.id(), now);
      }
    }
  }

  /**
   * Takes borrowed slots.
   *
   * @param lender VM of the lender
   * @param lent the slots
   * @param askedAt monotonic time at which this entry asked, in nanoseconds
   */
  public void addBorrowed(String lender, List<SlotLoan> lent, long askedAt) {
    long until = askedAt + timing.leaseNanos();
    for (SlotLoan loan : lent) {
      executors
          .computeIfAbsent(loan.executor(), id -> newExecutor(id, askedAt))
          .borrow(new ExecutorSlots.Borrowed(lender, loan, until));
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
      for (ExecutorSlots.Borrowed loan : slots.removeIdleLoans()) {
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
    for (String executor : listed) {
      free += executors.get(executor).freeCount(now);
    }
    return free;
  }

  /**
   * Counts this entry's slots that may be used or are in use.
   *
   * @return the count
   */
  public int established() {
    int count = 0;
    for (String executor : listed) {
      ExecutorSlots slots = executors.get(executor);
      for (int slot = 0; slot < slotsPerExecutor; slot++) {
        count += slots.isEstablished(slot) ? 1 : 0;
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
  public int busy(String executor) {
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
  public List<String> vms() {
    return vms;
  }
}
