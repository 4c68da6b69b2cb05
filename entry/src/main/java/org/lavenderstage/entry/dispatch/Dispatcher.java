package org.lavenderstage.entry.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.core.admission.AdmissionControl;
import org.lavenderstage.core.admission.AdmissionDecision;
import org.lavenderstage.core.admission.PlacedRequest;
import org.lavenderstage.core.admission.QueuedRequest;
import org.lavenderstage.core.admission.RequestScheduler;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.routing.RoutingPolicy;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotCount;
import org.lavenderstage.core.routing.SlotLending;
import org.lavenderstage.core.routing.SlotLoan;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;
import org.lavenderstage.wire.peer.SlotState;
import org.lavenderstage.wire.platform.VmEntry;

/**
 * Orders requests and sends them to executors. One thread owns the queues and the slots; all others
 * reach it through a bounded ring.
 */
public final class Dispatcher implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 4096;
  private static final int WORKSPACE_CAPACITY = 2048;
  private static final int MAX_DRAIN = 256;
  private static final long IDLE_MICROS = 200;
  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final long REFRESH_NANOS = 100_000_000;
  private static final long ASK_TIMEOUT_MILLIS = 50;

  private final ExecutorClient client;
  private final String vm;
  private final SlotKeeper keeper;
  private final long longestRequestNanos;
  private final BoundedRing<DispatchEvent> ring;
  private final Map<String, ServiceQueue> services = new HashMap<>();
  private final Map<String, VmEntry> executors = new HashMap<>();
  private final Set<PlacedRequest<Attempt>> sent =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private final LendingDuty lendingDuty;
  private final Duty duty;
  private long refreshedNanos;
  private boolean keeperDraining;
  private volatile int queuedCount;
  private volatile boolean ready;
  private volatile boolean draining;
  private volatile boolean closed;
  private final AtomicInteger inFlightCount = new AtomicInteger();

  /**
   * Starts to dispatch.
   *
   * @param client sends to executors
   * @param parts what the slots need to know and times
   * @param ringSize count of events that may wait, a power of two
   */
  public Dispatcher(ExecutorClient client, DispatcherContext parts, int ringSize) {
    this.client = client;
    this.vm = parts.vm();
    this.longestRequestNanos = parts.longestRequestNanos();
    this.keeper =
        new SlotKeeper(
            parts.vm(), parts.incarnation(), parts.directory(), parts.board(), parts.timing());
    this.ring = new BoundedRing<>(ringSize);
    this.refreshedNanos = System.nanoTime() - REFRESH_NANOS;
    this.lendingDuty = new LendingDuty(parts.peerAddress(), this::publish);
    this.duty = new Duty("dispatch", this::step);
  }

  /**
   * Hands a request over. Its result completes in any case, at once where too much waits.
   *
   * @param request the request
   */
  public void submit(DispatchRequest request) {
    Attempt attempt = new Attempt(request, new Attempt.Tries());
    if (closed || !ring.offer(new DispatchEvent.Submitted(attempt))) {
      refuse(request, ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
  }

  /**
   * Takes a peer's message about slots.
   *
   * @param message the message
   * @return the reply, empty where the message asks for none or none can be given in time
   */
  public Optional<PeerMessage> handlePeerMessage(PeerMessage message) {
    switch (message) {
      case SlotState state -> ring.offer(new DispatchEvent.PeerState(state));
      case SlotReturn returned -> ring.offer(new DispatchEvent.PeerReturned(returned));
      case SlotAsk ask -> {
        return Optional.of(answer(ask));
      }
      default -> {
        // other messages are not about slots
      }
    }
    return Optional.empty();
  }

  private SlotGrant answer(SlotAsk ask) {
    CompletableFuture<SlotGrant> reply = new CompletableFuture<>();
    SlotGrant nothing = new SlotGrant(vm, 0, List.of());
    if (!ring.offer(new DispatchEvent.PeerAsked(ask, reply))) {
      return nothing;
    }
    return reply.completeOnTimeout(nothing, ASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
  }

  /** Gives the slots up as soon as nothing waits any more. */
  public void drain() {
    draining = true;
  }

  private void step() throws InterruptedException {
    long now = System.nanoTime();
    if (now - refreshedNanos >= REFRESH_NANOS) {
      refreshedNanos = now;
      keeper.refresh(now);
      replaceExecutors();
    }
    keeper.step(now);
    ready |= keeper.hasSlots(now);
    int taken = ring.drain(MAX_DRAIN, this::handle);
    services.values().forEach(this::serve);
    queuedCount = services.values().stream().mapToInt(service -> service.scheduler().size()).sum();
    if (draining && queuedCount == 0 && !keeperDraining) {
      keeperDraining = true;
      keeper.drain();
    }
    keeper.publish(System.nanoTime());
    if (taken == 0) {
      TimeUnit.MICROSECONDS.sleep(IDLE_MICROS);
    }
  }

  private void replaceExecutors() {
    Map<String, List<String>> byService = new HashMap<>();
    for (VmEntry executor : keeper.executors()) {
      executors.put(executor.id(), executor);
      byService
          .computeIfAbsent(executor.service(), service -> new ArrayList<>())
          .add(executor.id());
    }
    byService.keySet().forEach(this::service);
    for (ServiceQueue service : services.values()) {
      service.policy().setExecutors(byService.getOrDefault(service.service(), List.of()));
    }
  }

  private ServiceQueue service(String name) {
    return services.computeIfAbsent(name, this::newService);
  }

  private ServiceQueue newService(String name) {
    SharedSlotsPolicy policy = new SharedSlotsPolicy(keeper.shares(), longestRequestNanos);
    AdmissionControl<Attempt> admission =
        new AdmissionControl<>(QUEUE_CAPACITY, WORKSPACE_CAPACITY);
    SlotLending lending = new SlotLending(bound -> ThreadLocalRandom.current().nextInt(bound));
    return new ServiceQueue(name, policy, new RequestScheduler<>(policy, admission), lending);
  }

  private void handle(DispatchEvent event) {
    long now = System.nanoTime();
    switch (event) {
      case DispatchEvent.Submitted submitted -> admit(submitted.attempt(), now);
      case DispatchEvent.Ended ended -> end(ended, now);
      case DispatchEvent.PeerState peer -> {
        keeper.heard(peer.state(), now);
        int free = peer.state().draining() ? 0 : peer.state().free();
        services.values().forEach(one -> one.lending().updatePeer(peer.state().vm(), free));
      }
      case DispatchEvent.PeerAsked asked -> lend(asked, now);
      case DispatchEvent.PeerReturned returned ->
          keeper.shares().endLoans(SlotKeeper.fromWire(returned.returned().loans()), now);
      case DispatchEvent.Granted granted -> {
        SlotGrant grant = granted.grant();
        service(granted.service()).lending().replyReceived(grant.vm(), grant.free());
        keeper
            .shares()
            .addBorrowed(grant.vm(), SlotKeeper.fromWire(grant.loans()), granted.askedNanos());
      }
      case DispatchEvent.AskFailed failed ->
          service(failed.service()).lending().replyReceived(failed.vm(), 0);
    }
  }

  private void admit(Attempt attempt, long now) {
    DispatchRequest request = attempt.request();
    QueuedRequest<Attempt> waiting =
        new QueuedRequest<>(
            attempt,
            request.priority().rank(),
            request.executorRequest().workspace(),
            request.priority().weight(),
            request.deadlineNanos(),
            request.priority().scheduledRetry());
    switch (service(request.executorRequest().service()).scheduler().submit(waiting, now)) {
      case AdmissionDecision.Admitted admitted -> {
        // it waits for its turn
      }
      case AdmissionDecision.Refused refused -> {
        boolean full = refused.reason() == AdmissionDecision.Reason.QUEUE_FULL;
        refuse(
            request,
            full ? ResultCode.OVERLOADED : ResultCode.DEADLINE_HOPELESS,
            TimeUnit.NANOSECONDS.toMillis(refused.retryAfterNanos()));
      }
    }
  }

  private void lend(DispatchEvent.PeerAsked asked, long now) {
    ServiceQueue service = service(asked.ask().service());
    SlotCount count = service.scheduler().slotCount(now);
    int most =
        draining
            ? 0
            : Math.min(asked.ask().most(), SlotLending.lendable(service.scheduler().size(), count));
    List<SlotLoan> lent = keeper.shares().lend(most, id -> service.policy().isUsable(id, now), now);
    SlotGrant grant =
        new SlotGrant(vm, keeper.shares().freeOwnedCount(now), SlotKeeper.toWire(lent));
    if (!asked.reply().complete(grant)) {
      keeper.shares().endLoans(lent, now);
    }
  }

  private void serve(ServiceQueue service) {
    long now = System.nanoTime();
    RequestScheduler<Attempt> scheduler = service.scheduler();
    for (QueuedRequest<Attempt> expired : scheduler.removeExpired(now)) {
      refuse(expired.item().request(), ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
    }
    Optional<PlacedRequest<Attempt>> next = scheduler.placeNext(now);
    while (next.isPresent()) {
      dispatch(scheduler, next.get());
      next = scheduler.placeNext(System.nanoTime());
    }
    balance(service, System.nanoTime());
  }

  private void balance(ServiceQueue service, long now) {
    int waiting = service.scheduler().size();
    SlotCount count = service.scheduler().slotCount(now);
    service
        .lending()
        .nextLoanRequest(waiting, count, now)
        .ifPresent(
            ask -> lendingDuty.ask(ask.vm(), new SlotAsk(vm, service.service(), ask.maxSlots())));
    if (SlotLending.hasSurplus(waiting, count)) {
      keeper
          .shares()
          .removeIdleBorrowed()
          .forEach(
              (lender, loans) ->
                  lendingDuty.giveBack(lender, new SlotReturn(SlotKeeper.toWire(loans))));
    }
  }

  private void dispatch(RequestScheduler<Attempt> scheduler, PlacedRequest<Attempt> placed) {
    DispatchRequest request = placed.request().item().request();
    long left = request.deadlineNanos() - System.nanoTime();
    if (left <= 0 || !request.mayDispatch().getAsBoolean()) {
      scheduler.notSent(placed, System.nanoTime());
      refuse(request, ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
      return;
    }
    inFlightCount.incrementAndGet();
    sent.add(placed);
    String address = executors.get(placed.ticket().executor()).address();
    CompletableFuture<Void> unused =
        client
            .execute(address, request.executorRequest(), Duration.ofNanos(left))
            .thenAccept(result -> publish(new DispatchEvent.Ended(placed, result)));
  }

  /** An event about slots in use must not be lost, so its publisher waits for room. */
  private void publish(DispatchEvent event) {
    while (!closed && !ring.offer(event)) {
      Thread.onSpinWait();
    }
  }

  private void end(DispatchEvent.Ended ended, long now) {
    inFlightCount.decrementAndGet();
    sent.remove(ended.placed());
    Attempt attempt = ended.placed().request().item();
    DispatchRequest request = attempt.request();
    RoutingPolicy.AttemptOutcome ending = ending(ended.result());
    boolean mayRepeat =
        attempt.tries().mayFollow()
            && (ending == RoutingPolicy.AttemptOutcome.NOT_STARTED || request.idempotent());
    RequestScheduler<Attempt> scheduler = service(request.executorRequest().service()).scheduler();
    if (scheduler.attemptEnded(ended.placed(), ending, mayRepeat, now)) {
      return;
    }
    switch (ended.result()) {
      case ExecutorResult.Answered answered ->
          request.result().complete(new DispatchResult.Answered(answered));
      case ExecutorResult.NotStarted ignored ->
          refuse(request, ResultCode.UPSTREAM_REFUSED, RETRY_AFTER_MILLIS);
      case ExecutorResult.Lost lost ->
          request.result().complete(new DispatchResult.Lost(lost.reason()));
    }
  }

  private static RoutingPolicy.AttemptOutcome ending(ExecutorResult result) {
    return switch (result) {
      case ExecutorResult.Answered answered -> RoutingPolicy.AttemptOutcome.ANSWERED;
      case ExecutorResult.NotStarted notStarted -> RoutingPolicy.AttemptOutcome.NOT_STARTED;
      case ExecutorResult.Lost lost -> RoutingPolicy.AttemptOutcome.LOST;
    };
  }

  private static void refuse(DispatchRequest request, ResultCode code, long retryAfterMillis) {
    request.result().complete(new DispatchResult.NotRun(code, retryAfterMillis));
  }

  /**
   * Tells whether this entry has had slots since its start.
   *
   * @return whether it can serve requests; true also where the VM list names no executor
   */
  public boolean isReady() {
    return ready;
  }

  /**
   * Counts the requests that wait for a slot.
   *
   * @return the count
   */
  public int queuedCount() {
    return queuedCount;
  }

  /**
   * Counts the requests that were sent and have not ended.
   *
   * @return the count
   */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /** Stops; what still waits was never sent, and what was sent may have run. */
  @Override
  public void close() {
    duty.close();
    closed = true;
    lendingDuty.close();
    long end = System.nanoTime() + Long.MAX_VALUE / 2;
    ring.drain(Integer.MAX_VALUE, this::refuseLate);
    for (ServiceQueue service : services.values()) {
      for (QueuedRequest<Attempt> waiting : service.scheduler().removeExpired(end)) {
        refuse(waiting.item().request(), ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
      }
    }
    for (PlacedRequest<Attempt> placed : sent) {
      placed.request().item().request().result().complete(new DispatchResult.Lost("stopped"));
    }
  }

  private void refuseLate(DispatchEvent event) {
    if (event instanceof DispatchEvent.Submitted submitted) {
      refuse(submitted.attempt().request(), ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
  }
}
