package org.lavenderstage.core.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.KeyTime;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;

/**
 * One simulated entry: the real coordinator and ledger, with queues in place of threads and
 * connections.
 */
final class ClaimNode {
  private final ClaimSimulation simulation;
  private final String name;
  private final long clockErrorMillis;
  private final ClaimCoordinator coordinator;
  private final LedgerStream<ClaimLedger> stream;
  private final Deque<LedgerRecord> outbox = new ArrayDeque<>();
  private final Map<Long, ClaimSubmission> callers = new HashMap<>();
  private final Map<Long, PeerQuery> peerQueries = new HashMap<>();
  private final Set<Long> dispatchedIds = new HashSet<>();
  private final Deque<ClaimDecision.Dispatch> unchecked = new ArrayDeque<>();
  private final Deque<ClaimDecision.Dispatch> permitted = new ArrayDeque<>();
  private final List<ClaimDecision.Dispatch> calls = new ArrayList<>();
  private final Deque<ClaimDecision.AskOwner> unsentQueries = new ArrayDeque<>();
  private final Map<Long, ClaimDecision.AskOwner> openQueries = new HashMap<>();
  private final Deque<OwnerReply> replies = new ArrayDeque<>();
  private long lastSubmission;
  private long sequence;
  private boolean paused;

  ClaimNode(ClaimSimulation simulation, String name, long clockErrorMillis) {
    this.simulation = simulation;
    this.name = name;
    this.clockErrorMillis = clockErrorMillis;
    this.stream =
        new LedgerStream<>(new ClaimLedger(simulation.ledgerWindow(), ClaimSimulation.MAX_CLAIMS));
    this.coordinator = new ClaimCoordinator(name, ClaimSimulation.LIMITS);
  }

  String name() {
    return name;
  }

  boolean isPaused() {
    return paused;
  }

  void setPaused(boolean pause) {
    paused = pause;
  }

  int openKeys() {
    return coordinator.openKeyCount();
  }

  String digest() {
    return stream.stateMachine().digest();
  }

  void submit(RequestKey key, long timeoutMillis) {
    long now = simulation.nowNanos();
    long id = ++lastSubmission;
    ClaimSubmission newSubmission =
        new ClaimSubmission(id, key, now, now + ClaimSimulation.nanos(timeoutMillis), false);
    callers.put(id, newSubmission);
    simulation.oracle().submitted(globalId(id), key);
    long keyMillis = KeyTime.millis(key.key()).orElseThrow();
    if (!ClaimSimulation.WINDOW.accepts(keyMillis, simulation.logMillis() + clockErrorMillis)) {
      finish(id, Optional.of(ClaimAnswer.of(ResultCode.KEY_EXPIRED)));
      return;
    }
    execute(
        coordinator.onSubmission(
            newSubmission, stream.stateMachine().claim(key), simulation.isLogDown()));
  }

  private String globalId(long submission) {
    return name + "/" + submission;
  }

  void append(boolean answerLost) {
    LedgerRecord record = outbox.poll();
    if (record == null || simulation.isLogDown()) {
      Optional.ofNullable(record).ifPresent(outbox::addFirst);
      return;
    }
    RecordBatch batch = RecordBatch.of(name, ++sequence, List.of(record));
    simulation.append(batch);
    if (answerLost) {
      simulation.append(batch);
    }
  }

  boolean hasUnsent() {
    return !outbox.isEmpty();
  }

  void read(int records) {
    for (int i = 0; i < records && stream.nextOffset() < simulation.logSize(); i++) {
      simulation.apply(stream, this::onRecordApplied);
    }
  }

  private void onRecordApplied(LedgerRecord record, boolean effective) {
    Optional<RequestKey> key =
        switch (record) {
          case RequestClaimed applied ->
              Optional.of(new RequestKey(applied.workspace(), applied.key()));
          case RequestReleased applied ->
              Optional.of(new RequestKey(applied.workspace(), applied.key()));
          case RequestSettled applied ->
              Optional.of(new RequestKey(applied.workspace(), applied.key()));
          default -> Optional.empty();
        };
    Optional<ClaimState> known = stream.stateMachine().claim(key.orElseThrow());
    boolean inWindow = stream.stateMachine().isInWindow(key.get());
    execute(coordinator.onRecordApplied(record, effective, known, inWindow, decisionNanos()));
  }

  /**
   * Returns the time that the coordinator is given. With {@link
   * ClaimDefect#DENIES_WITHOUT_RELEASING}, which denies by its own timer, it is always 0, so that
   * the coordinator never finds a deadline expired.
   */
  private long decisionNanos() {
    return simulation.has(ClaimDefect.DENIES_WITHOUT_RELEASING) ? 0 : simulation.nowNanos();
  }

  void tick() {
    if (simulation.has(ClaimDefect.DENIES_WITHOUT_RELEASING)) {
      List.copyOf(callers.values()).stream()
          .filter(
              caller ->
                  !dispatchedIds.contains(caller.id()) && !openQueries.containsKey(caller.id()))
          .filter(
              caller ->
                  simulation.nowNanos() - caller.arrivedNanos()
                      >= ClaimSimulation.LIMITS.claimWaitNanos())
          .forEach(
              caller ->
                  finish(caller.id(), Optional.of(ClaimAnswer.of(ResultCode.DEADLINE_PASSED))));
    } else {
      execute(coordinator.onTick(simulation.nowNanos()));
    }
    List.copyOf(openQueries.values()).stream()
        .filter(ask -> simulation.nowNanos() >= ask.submission().deadlineNanos())
        .forEach(ask -> receiveReply(new OwnerReply(ask, Optional.empty())));
  }

  void check() {
    ClaimDecision.Dispatch pending = unchecked.poll();
    if (pending == null) {
      return;
    }
    DispatchCheck check =
        coordinator.checkDispatch(pending.key(), pending.attempt(), decisionNanos());
    execute(check.decisions());
    if (check.allowed() || simulation.has(ClaimDefect.SKIPS_DISPATCH_CHECK)) {
      permitted.add(pending);
    } else {
      onResult(pending, new ClaimResult.NotRun(ResultCode.DEADLINE_PASSED, 0));
    }
  }

  void send(boolean refused) {
    ClaimDecision.Dispatch pending = permitted.poll();
    if (pending == null) {
      return;
    }
    if (refused) {
      onResult(pending, new ClaimResult.NotRun(ResultCode.UPSTREAM_REFUSED, 0));
      return;
    }
    simulation.oracle().started(globalId(pending.submission()), pending.key());
    calls.add(pending);
  }

  void answer(int choice) {
    takeCall(choice).ifPresent(call -> onResult(call, answered(call.key())));
  }

  void loseAnswer(int choice) {
    takeCall(choice).ifPresent(call -> onResult(call, new ClaimResult.Lost()));
  }

  /** The connection returns the answer, or the refusal, of another request. */
  void swapAnswer(int choice) {
    takeCall(choice).ifPresent(call -> onResult(call, resultOfOtherRequest()));
  }

  private ClaimResult resultOfOtherRequest() {
    if (simulation.has(ClaimDefect.IGNORES_REQUEST_ID)) {
      return answered(new RequestKey("workspace", "another"));
    }
    return simulation.has(ClaimDefect.TRUSTS_REFUSAL_OF_OTHER_REQUEST)
        ? new ClaimResult.NotRun(ResultCode.UPSTREAM_REFUSED, 0)
        : new ClaimResult.Lost();
  }

  private Optional<ClaimDecision.Dispatch> takeCall(int choice) {
    return calls.isEmpty() ? Optional.empty() : Optional.of(calls.remove(choice % calls.size()));
  }

  private static ClaimResult answered(RequestKey key) {
    byte[] body = key.key().getBytes(StandardCharsets.UTF_8);
    return new ClaimResult.Answered(ClaimAnswer.upstream(200, "text/plain", body));
  }

  private void onResult(ClaimDecision.Dispatch finished, ClaimResult result) {
    execute(coordinator.onDispatchResult(finished.key(), finished.attempt(), result));
  }

  void ask() {
    ClaimDecision.AskOwner ask = unsentQueries.poll();
    if (ask == null) {
      return;
    }
    Optional<ClaimNode> owner = simulation.node(ask.claim().entry());
    if (owner.isPresent() && !owner.get().paused) {
      owner.get().receiveQuery(this, ask);
    } else if (owner.isPresent()) {
      unsentQueries.add(ask);
    } else if (simulation.has(ClaimDefect.DISPATCHES_FOR_LOST_OWNER)) {
      ClaimSubmission unanswered = ask.submission();
      permitted.add(
          new ClaimDecision.Dispatch(unanswered.id(), unanswered.key(), ask.claim().attempt() + 1));
    } else {
      receiveReply(new OwnerReply(ask, Optional.empty()));
    }
  }

  private void receiveQuery(ClaimNode asker, ClaimDecision.AskOwner ask) {
    ClaimSubmission original = ask.submission();
    long id = ++lastSubmission;
    peerQueries.put(id, new PeerQuery(asker, ask));
    ClaimSubmission forwarded =
        new ClaimSubmission(
            id, original.key(), simulation.nowNanos(), original.deadlineNanos(), true);
    execute(
        coordinator.onSubmission(
            forwarded, stream.stateMachine().claim(original.key()), simulation.isLogDown()));
  }

  void reply() {
    Optional.ofNullable(replies.poll()).ifPresent(this::receiveReply);
  }

  private void receiveReply(OwnerReply reply) {
    ClaimSubmission waiting = reply.query().submission();
    if (openQueries.remove(waiting.id()) != null) {
      execute(
          coordinator.onOwnerReply(
              waiting, reply.answer(), stream.stateMachine().claim(waiting.key())));
    }
  }

  private void execute(List<ClaimDecision> decisions) {
    decisions.forEach(this::execute);
  }

  private void execute(ClaimDecision decision) {
    switch (decision) {
      case ClaimDecision.Append append -> {
        outbox.add(append.record());
        if (simulation.has(ClaimDefect.DISPATCHES_BEFORE_CLAIM_IS_APPLIED)
            && append.record() instanceof RequestClaimed claimed) {
          execute(
              coordinator.onRecordApplied(
                  claimed, true, Optional.empty(), true, simulation.nowNanos()));
        }
      }
      case ClaimDecision.Dispatch dispatch -> {
        dispatchedIds.add(dispatch.submission());
        unchecked.add(dispatch);
      }
      case ClaimDecision.Answer answer -> finish(answer.submission(), Optional.of(answer.answer()));
      case ClaimDecision.ReplyNotKnown disown -> finish(disown.submission(), Optional.empty());
      case ClaimDecision.AskOwner ask -> {
        unsentQueries.add(ask);
        openQueries.put(ask.submission().id(), ask);
      }
    }
  }

  private void finish(long submission, Optional<ClaimAnswer> answer) {
    PeerQuery peerQuery = peerQueries.remove(submission);
    if (peerQuery != null) {
      peerQuery.asker().replies.add(new OwnerReply(peerQuery.query(), answer));
    } else if (callers.remove(submission) != null) {
      simulation.oracle().answered(globalId(submission), answer.orElseThrow());
    }
  }

  /**
   * Kills the process: its callers get no answer, requests that it has sent continue, and an append
   * may still be in flight.
   */
  void kill(boolean appendInFlight) {
    if (appendInFlight) {
      append(false);
    }
    callers.keySet().forEach(id -> simulation.oracle().abandoned(globalId(id)));
  }

  /** A query of a peer that waits at this entry. */
  private record PeerQuery(ClaimNode asker, ClaimDecision.AskOwner query) {}

  /** An owner's reply in flight. */
  private record OwnerReply(ClaimDecision.AskOwner query, Optional<ClaimAnswer> answer) {}
}
