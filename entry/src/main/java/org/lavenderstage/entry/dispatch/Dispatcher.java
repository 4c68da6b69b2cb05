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
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;
import org.lavenderstage.wire.peer.SlotState;
import org.lavenderstage.wire.platform.VmEntry;

/**
 * Queues requests and sends them to executors. One thread owns the queues and the slots; all other
 * threads send it events through a bounded ring buffer.
 */
public final class Dispatcher implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 4096;
  private static final int WORKSPACE_CAPACITY = 2048;
  private static final int MAX_EVENTS_PER_STEP = 256;
  private static final long IDLE_SLEEP_MICROS = 200;
  private static final long RETRY_AFTER_MILLIS = 1000;
  private static final long REFRESH_INTERVAL_NANOS = 100_000_000;
  private static final long LOAN_REPLY_TIMEOUT_MILLIS = 50;

  private final ExecutorClient client;
  private final String vm;
  private final SlotManager slotManager;
  private final long longestRequestNanos;
  private final BoundedRing<DispatchEvent> ring;
  private final Map<String, ServiceState> services = new HashMap<>();
  private final Map<String, VmEntry> executors = new HashMap<>();
  private final Set<PlacedRequest<TrackedRequest>> sentRequests =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private final SlotLoanClient loanClient;
  private final BackgroundThread thread;
  private long lastRefreshNanos;
  private boolean slotsDraining;
  private volatile int queuedCount;
  private volatile boolean ready;
  private volatile boolean draining;
  private volatile boolean closed;
  private final AtomicInteger inFlightCount = new AtomicInteger();

  /**
   * Creates a dispatcher and starts its threads.
   *
   * @param client client that sends requests to executors
   * @param context identity, peers and timing of this entry
   * @param ringSize maximum number of pending events, a power of two
   */
  public Dispatcher(ExecutorClient client, DispatcherContext context, int ringSize) {
    this.client = client;
    this.vm = context.vm();
    this.longestRequestNanos = context.longestRequestNanos();
    this.slotManager =
        new SlotManager(
            context.vm(),
            context.incarnation(),
            context.directory(),
            context.slotState(),
            context.timing());
    this.ring = new BoundedRing<>(ringSize);
    this.lastRefreshNanos = System.nanoTime() - REFRESH_INTERVAL_NANOS;
    this.loanClient = new SlotLoanClient(context.peerAddress(), this::publish);
    this.thread = new BackgroundThread("dispatch", this::step);
  }

  /**
   * Submits a request. Its result always completes; it completes at once if the request cannot be
   * queued.
   *
   * @param request the request
   */
  public void submit(DispatchRequest request) {
    TrackedRequest tracked = new TrackedRequest(request, new TrackedRequest.AttemptCounter());
    if (closed || !ring.offer(new DispatchEvent.Submitted(tracked))) {
      refuse(request, ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
  }

  /**
   * Handles a peer's message about slots.
   *
   * @param message the message
   * @return the reply, or empty if the message requires none
   */
  public Optional<PeerMessage> handlePeerMessage(PeerMessage message) {
    switch (message) {
      case SlotState state -> ring.offer(new DispatchEvent.PeerState(state));
      case SlotReturn returned -> ring.offer(new DispatchEvent.SlotsReturned(returned));
      case SlotAsk loanRequest -> {
        return Optional.of(replyToLoanRequest(loanRequest));
      }
      default -> {
        // Other messages do not concern slots.
      }
    }
    return Optional.empty();
  }

  private SlotGrant replyToLoanRequest(SlotAsk loanRequest) {
    CompletableFuture<SlotGrant> reply = new CompletableFuture<>();
    SlotGrant emptyGrant = new SlotGrant(vm, 0, List.of());
    if (!ring.offer(new DispatchEvent.LoanRequested(loanRequest, reply))) {
      return emptyGrant;
    }
    return reply
        .completeOnTimeout(emptyGrant, LOAN_REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .join();
  }

  /** Releases the slots as soon as no requests are queued. */
  public void drain() {
    draining = true;
  }

  private void step() throws InterruptedException {
    long now = System.nanoTime();
    if (now - lastRefreshNanos >= REFRESH_INTERVAL_NANOS) {
      lastRefreshNanos = now;
      slotManager.refresh(now);
      replaceExecutors();
    }
    slotManager.step(now);
    ready |= slotManager.hasSlots(now);
    int eventCount = ring.drain(MAX_EVENTS_PER_STEP, this::handle);
    services.values().forEach(this::serve);
    queuedCount = services.values().stream().mapToInt(service -> service.scheduler().size()).sum();
    if (draining && queuedCount == 0 && !slotsDraining) {
      slotsDraining = true;
      slotManager.drain();
    }
    slotManager.publish(System.nanoTime());
    if (eventCount == 0) {
      TimeUnit.MICROSECONDS.sleep(IDLE_SLEEP_MICROS);
    }
  }

  private void replaceExecutors() {
    Map<String, List<String>> byService = new HashMap<>();
    for (VmEntry executor : slotManager.executors()) {
      executors.put(executor.id(), executor);
      byService
          .computeIfAbsent(executor.service(), service -> new ArrayList<>())
          .add(executor.id());
    }
    byService.keySet().forEach(this::service);
    for (ServiceState service : services.values()) {
      service.policy().setExecutors(byService.getOrDefault(service.serviceName(), List.of()));
    }
  }

  private ServiceState service(String name) {
    return services.computeIfAbsent(name, this::newService);
  }

  private ServiceState newService(String name) {
    SharedSlotsPolicy policy = new SharedSlotsPolicy(slotManager.shares(), longestRequestNanos);
    AdmissionControl<TrackedRequest> admission =
        new AdmissionControl<>(QUEUE_CAPACITY, WORKSPACE_CAPACITY);
    SlotLending lending = new SlotLending(bound -> ThreadLocalRandom.current().nextInt(bound));
    return new ServiceState(name, policy, new RequestScheduler<>(policy, admission), lending);
  }

  private void handle(DispatchEvent event) {
    long now = System.nanoTime();
    switch (event) {
      case DispatchEvent.Submitted submitted -> admit(submitted.trackedRequest(), now);
      case DispatchEvent.AttemptFinished finished -> handleFinished(finished, now);
      case DispatchEvent.PeerState peerState -> {
        slotManager.receivePeerState(peerState.state(), now);
        int free = peerState.state().draining() ? 0 : peerState.state().free();
        services
            .values()
            .forEach(
                serviceState -> serviceState.lending().updatePeer(peerState.state().vm(), free));
      }
      case DispatchEvent.LoanRequested requested -> lend(requested, now);
      case DispatchEvent.SlotsReturned returned ->
          slotManager.shares().endLoans(SlotManager.fromWire(returned.returned().loans()), now);
      case DispatchEvent.LoanGranted granted -> {
        SlotGrant grant = granted.grant();
        service(granted.service()).lending().replyReceived(grant.vm(), grant.free());
        slotManager
            .shares()
            .addBorrowed(grant.vm(), SlotManager.fromWire(grant.loans()), granted.requestedNanos());
      }
      case DispatchEvent.LoanRequestFailed failed ->
          service(failed.service()).lending().replyReceived(failed.vm(), 0);
    }
  }

  private void admit(TrackedRequest tracked, long now) {
    DispatchRequest request = tracked.request();
    QueuedRequest<TrackedRequest> queuedRequest =
        new QueuedRequest<>(
            tracked,
            request.priority().rank(),
            request.executorRequest().workspace(),
            request.priority().weight(),
            request.deadlineNanos(),
            request.priority().scheduledRetry());
    switch (service(request.executorRequest().service()).scheduler().submit(queuedRequest, now)) {
      case AdmissionDecision.Admitted admitted -> {
        // The request waits in the queue.
      }
      case AdmissionDecision.Refused refused -> {
        boolean queueFull = refused.reason() == AdmissionDecision.Reason.QUEUE_FULL;
        refuse(
            request,
            queueFull ? ResultCode.OVERLOADED : ResultCode.DEADLINE_HOPELESS,
            TimeUnit.NANOSECONDS.toMillis(refused.retryAfterNanos()));
      }
    }
  }

  private void lend(DispatchEvent.LoanRequested requested, long now) {
    ServiceState service = service(requested.loanRequest().service());
    SlotCount count = service.scheduler().slotCount(now);
    int limit =
        draining
            ? 0
            : Math.min(
                requested.loanRequest().most(),
                SlotLending.lendableCount(service.scheduler().size(), count));
    List<SlotLoan> lent =
        slotManager.shares().lend(limit, id -> service.policy().isUsable(id, now), now);
    SlotGrant grant =
        new SlotGrant(vm, slotManager.shares().freeOwnedCount(now), SlotManager.toWire(lent));
    if (!requested.reply().complete(grant)) {
      slotManager.shares().endLoans(lent, now);
    }
  }

  private void serve(ServiceState service) {
    long now = System.nanoTime();
    RequestScheduler<TrackedRequest> scheduler = service.scheduler();
    for (QueuedRequest<TrackedRequest> expired : scheduler.removeExpired(now)) {
      refuse(expired.item().request(), ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
    }
    Optional<PlacedRequest<TrackedRequest>> next = scheduler.placeNext(now);
    while (next.isPresent()) {
      dispatch(scheduler, next.get());
      next = scheduler.placeNext(System.nanoTime());
    }
    balanceLoans(service, System.nanoTime());
  }

  private void balanceLoans(ServiceState service, long now) {
    int waiting = service.scheduler().size();
    SlotCount count = service.scheduler().slotCount(now);
    service
        .lending()
        .nextLoanRequest(waiting, count, now)
        .ifPresent(
            loanRequest ->
                loanClient.requestLoan(
                    loanRequest.vm(),
                    new SlotAsk(vm, service.serviceName(), loanRequest.maxSlots())));
    if (SlotLending.hasSurplus(waiting, count)) {
      slotManager
          .shares()
          .removeIdleBorrowed()
          .forEach(
              (lender, loans) ->
                  loanClient.returnSlots(lender, new SlotReturn(SlotManager.toWire(loans))));
    }
  }

  private void dispatch(
      RequestScheduler<TrackedRequest> scheduler, PlacedRequest<TrackedRequest> placed) {
    DispatchRequest request = placed.request().item().request();
    long remainingNanos = request.deadlineNanos() - System.nanoTime();
    if (remainingNanos <= 0 || !request.mayDispatch().getAsBoolean()) {
      scheduler.releaseUnsent(placed, System.nanoTime());
      refuse(request, ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
      return;
    }
    inFlightCount.incrementAndGet();
    sentRequests.add(placed);
    String address = executors.get(placed.ticket().executor()).address();
    CompletableFuture<Void> unused =
        client
            .execute(address, request.executorRequest(), Duration.ofNanos(remainingNanos))
            .thenAccept(result -> publish(new DispatchEvent.AttemptFinished(placed, result)));
  }

  /**
   * Adds an event about slots in use. It must not be lost, so the caller waits for a free place.
   */
  private void publish(DispatchEvent event) {
    while (!closed && !ring.offer(event)) {
      Thread.onSpinWait();
    }
  }

  private void handleFinished(DispatchEvent.AttemptFinished finished, long now) {
    inFlightCount.decrementAndGet();
    sentRequests.remove(finished.placed());
    TrackedRequest tracked = finished.placed().request().item();
    DispatchRequest request = tracked.request();
    RoutingPolicy.AttemptOutcome outcome = outcome(finished.result());
    boolean mayRetry =
        tracked.attempts().recordEnd()
            && (outcome == RoutingPolicy.AttemptOutcome.NOT_STARTED || request.idempotent());
    RequestScheduler<TrackedRequest> scheduler =
        service(request.executorRequest().service()).scheduler();
    if (scheduler.attemptEnded(finished.placed(), outcome, mayRetry, now)) {
      return;
    }
    switch (finished.result()) {
      case ExecutorResult.Answered answered ->
          request.result().complete(new DispatchResult.Answered(answered));
      case ExecutorResult.NotStarted ignored ->
          refuse(request, ResultCode.UPSTREAM_REFUSED, RETRY_AFTER_MILLIS);
      case ExecutorResult.Lost lost ->
          request.result().complete(new DispatchResult.Lost(lost.reason()));
    }
  }

  private static RoutingPolicy.AttemptOutcome outcome(ExecutorResult result) {
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
   * Returns whether this entry has had slots since its start.
   *
   * @return whether it can serve requests; also true if the VM list contains no executor
   */
  public boolean isReady() {
    return ready;
  }

  /**
   * Returns the number of requests that wait for a slot.
   *
   * @return number of requests
   */
  public int queuedCount() {
    return queuedCount;
  }

  /**
   * Returns the number of requests that were sent and have not ended.
   *
   * @return number of requests
   */
  public int inFlightCount() {
    return inFlightCount.get();
  }

  /**
   * Stops the dispatcher. Queued requests are refused, since they were never sent; sent requests
   * are reported as lost, since they may have run.
   */
  @Override
  public void close() {
    thread.close();
    closed = true;
    loanClient.close();
    long afterAllDeadlines = System.nanoTime() + Long.MAX_VALUE / 2;
    ring.drain(Integer.MAX_VALUE, this::refuseUnhandled);
    for (ServiceState service : services.values()) {
      for (QueuedRequest<TrackedRequest> queuedRequest :
          service.scheduler().removeExpired(afterAllDeadlines)) {
        refuse(queuedRequest.item().request(), ResultCode.DEADLINE_PASSED, RETRY_AFTER_MILLIS);
      }
    }
    for (PlacedRequest<TrackedRequest> placed : sentRequests) {
      placed.request().item().request().result().complete(new DispatchResult.Lost("stopped"));
    }
  }

  private void refuseUnhandled(DispatchEvent event) {
    if (event instanceof DispatchEvent.Submitted submitted) {
      refuse(submitted.trackedRequest().request(), ResultCode.OVERLOADED, RETRY_AFTER_MILLIS);
    }
  }
}
