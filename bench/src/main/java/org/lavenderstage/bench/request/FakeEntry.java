package org.lavenderstage.bench.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.lavenderstage.bench.policy.EventLoop;
import org.lavenderstage.core.admission.AdmissionControl;
import org.lavenderstage.core.admission.AdmissionDecision;
import org.lavenderstage.core.admission.PlacedRequest;
import org.lavenderstage.core.admission.QueuedRequest;
import org.lavenderstage.core.admission.RequestScheduler;
import org.lavenderstage.core.routing.LeastOfTwoPolicy;
import org.lavenderstage.core.routing.RandomPolicy;
import org.lavenderstage.core.routing.RoundRobinPolicy;
import org.lavenderstage.core.routing.RoutingPolicy;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotAnnouncement;
import org.lavenderstage.core.routing.SlotCount;
import org.lavenderstage.core.routing.SlotLending;
import org.lavenderstage.core.routing.SlotLoan;
import org.lavenderstage.core.routing.SlotShares;
import org.lavenderstage.core.routing.SlotTiming;

/** An entry in virtual time: drives the core's request scheduler as the dispatcher does. */
final class FakeEntry {
  static final int SLOTS = 8;
  private static final long MILLIS = 1_000_000;
  private static final SlotTiming TIMING =
      new SlotTiming(15_000 * MILLIS, 10_000 * MILLIS, 8_750 * MILLIS, 500 * MILLIS);
  private static final int QUEUE_CAPACITY = 4096;
  private static final int MAX_ATTEMPTS = 3;
  private static final long STEP_NANOS = 100 * MILLIS;
  private static final long ANNOUNCE_NANOS = 500 * MILLIS;

  private final Deployment deployment;
  private final EventLoop loop;
  private final String vm;
  private final SlotShares shares;
  private final SlotLending lending;
  private final RoutingPolicy policy;
  private final RequestScheduler<Call> scheduler;

  FakeEntry(Deployment deployment, int index, PolicyKind kind, UniformRandomProvider random) {
    this.deployment = deployment;
    this.loop = deployment.loop();
    this.vm = Deployment.entryName(index);
    this.shares = new SlotShares(vm, vm + "-1", SLOTS, TIMING, 0);
    this.lending = new SlotLending(random::nextInt);
    this.policy =
        switch (kind) {
          case RANDOM -> new RandomPolicy(random::nextInt);
          case ROUND_ROBIN -> new RoundRobinPolicy(index);
          case LEAST_OF_TWO -> new LeastOfTwoPolicy(random::nextInt);
          case SHARED -> new SharedSlotsPolicy(shares, ArrivalPlan.TIMEOUT_NANOS);
          case CENTRAL -> throw new IllegalArgumentException("the central queue has no entries");
        };
    this.scheduler =
        new RequestScheduler<>(policy, new AdmissionControl<>(QUEUE_CAPACITY, QUEUE_CAPACITY));
  }

  String vm() {
    return vm;
  }

  RequestScheduler<Call> scheduler() {
    return scheduler;
  }

  void start(long offsetNanos) {
    loop.schedule(offsetNanos, this::step);
    loop.schedule(offsetNanos, this::announce);
  }

  private void step() {
    long now = loop.nowNanos();
    List<String> usable = deployment.listedExecutors();
    shares.updateVms(deployment.entryNames(), usable, now);
    policy.setExecutors(usable);
    shares.step(now);
    dispatch();
    loop.schedule(STEP_NANOS, this::step);
  }

  private void announce() {
    SlotAnnouncement announcement = shares.announce(loop.nowNanos());
    int free = shares.freeOwnedCount(loop.nowNanos());
    for (FakeEntry peer : deployment.entries()) {
      if (peer != this) {
        deployment.hop(() -> peer.handleAnnouncement(announcement, free));
      }
    }
    loop.schedule(ANNOUNCE_NANOS, this::announce);
  }

  private void handleAnnouncement(SlotAnnouncement announcement, int free) {
    shares.receiveAnnouncement(announcement, false, loop.nowNanos());
    lending.updatePeer(announcement.vm(), free);
  }

  void submit(Call call) {
    QueuedRequest<Call> queuedRequest =
        new QueuedRequest<>(
            call,
            call.arrival.rank(),
            call.arrival.workspace(),
            1,
            call.deadlineNanos(),
            call.marked);
    long now = loop.nowNanos();
    switch (scheduler.submit(queuedRequest, now)) {
      case AdmissionDecision.Admitted admitted -> dispatch();
      case AdmissionDecision.Refused refused ->
          deployment.log().refused(call, now, refused.retryAfterNanos());
    }
  }

  private void dispatch() {
    long now = loop.nowNanos();
    for (QueuedRequest<Call> expired : scheduler.removeExpired(now)) {
      deployment.log().refused(expired.item(), now, -1);
    }
    Optional<PlacedRequest<Call>> next = scheduler.placeNext(now);
    while (next.isPresent()) {
      send(next.get());
      next = scheduler.placeNext(now);
    }
    if (policy instanceof SharedSlotsPolicy) {
      balanceLoans(now);
    }
  }

  private void send(PlacedRequest<Call> placed) {
    Call call = placed.request().item();
    call.attempts++;
    deployment.log().sent(this, call);
    FakeExecutor executor = deployment.executor(placed.ticket().executor());
    deployment.hop(
        () ->
            executor.accept(
                call.arrival.sizeNanos(),
                outcome -> deployment.hop(() -> handleAttemptEnd(placed, outcome))));
  }

  private void handleAttemptEnd(PlacedRequest<Call> placed, RoutingPolicy.AttemptOutcome outcome) {
    Call call = placed.request().item();
    long now = loop.nowNanos();
    boolean requeued = scheduler.attemptEnded(placed, outcome, call.attempts < MAX_ATTEMPTS, now);
    if (outcome == RoutingPolicy.AttemptOutcome.ANSWERED) {
      deployment.log().answered(call, now);
    } else if (!requeued) {
      deployment.log().refused(call, now, -1);
    }
    dispatch();
  }

  private void balanceLoans(long now) {
    int waiting = scheduler.size();
    SlotCount count = scheduler.slotCount(now);
    lending
        .nextLoanRequest(waiting, count, now)
        .ifPresent(
            loanRequest ->
                deployment.hop(
                    () -> deployment.entry(loanRequest.vm()).lend(this, loanRequest, now)));
    if (SlotLending.hasSurplus(waiting, count)) {
      shares
          .removeIdleBorrowed()
          .forEach(
              (lender, loans) ->
                  deployment.hop(() -> deployment.entry(lender).loansReturned(loans)));
    }
  }

  private void lend(
      FakeEntry borrower, SlotLending.LoanRequest loanRequest, long requestedAtNanos) {
    long now = loop.nowNanos();
    int lendLimit =
        Math.min(
            loanRequest.maxSlots(),
            SlotLending.lendableCount(scheduler.size(), scheduler.slotCount(now)));
    SharedSlotsPolicy ownPolicy = (SharedSlotsPolicy) policy;
    List<SlotLoan> lent = shares.lend(lendLimit, id -> ownPolicy.isUsable(id, now), now);
    int free = shares.freeOwnedCount(now);
    deployment.hop(() -> borrower.loansReceived(vm, new ArrayList<>(lent), free, requestedAtNanos));
  }

  private void loansReceived(String lender, List<SlotLoan> loans, int free, long requestedAtNanos) {
    lending.replyReceived(lender, free);
    shares.addBorrowed(lender, loans, requestedAtNanos);
    dispatch();
  }

  private void loansReturned(List<SlotLoan> loans) {
    shares.endLoans(loans, loop.nowNanos());
    dispatch();
  }
}
