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

/** One entry: the real coordinator and fold, with queues in place of threads and links. */
final class ClaimNode {
  private final ClaimWorld world;
  private final String name;
  private final long clockErrorMillis;
  private final ClaimCoordinator coordinator;
  private final LedgerStream<ClaimLedger> stream;
  private final Deque<LedgerRecord> outbox = new ArrayDeque<>();
  private final Map<Long, ClaimSubmission> callers = new HashMap<>();
  private final Map<Long, Asked> askers = new HashMap<>();
  private final Set<Long> handed = new HashSet<>();
  private final Deque<ClaimDecision.Dispatch> unchecked = new ArrayDeque<>();
  private final Deque<ClaimDecision.Dispatch> permitted = new ArrayDeque<>();
  private final List<ClaimDecision.Dispatch> calls = new ArrayList<>();
  private final Deque<ClaimDecision.AskOwner> asks = new ArrayDeque<>();
  private final Map<Long, ClaimDecision.AskOwner> asking = new HashMap<>();
  private final Deque<Reply> replies = new ArrayDeque<>();
  private long lastSubmission;
  private long sequence;
  private boolean frozen;

  ClaimNode(ClaimWorld world, String name, long clockErrorMillis) {
    this.world = world;
    this.name = name;
    this.clockErrorMillis = clockErrorMillis;
    this.stream = new LedgerStream<>(new ClaimLedger(world.foldWindow(), ClaimWorld.CLAIMS));
    this.coordinator = new ClaimCoordinator(name, ClaimWorld.LIMITS);
  }

  String name() {
    return name;
  }

  boolean isFrozen() {
    return frozen;
  }

  void freeze(boolean on) {
    frozen = on;
  }

  int openKeys() {
    return coordinator.openKeys();
  }

  String digest() {
    return stream.fold().digest();
  }

  void submit(RequestKey key, long timeoutMillis) {
    long now = world.nowNanos();
    long id = ++lastSubmission;
    ClaimSubmission one =
        new ClaimSubmission(id, key, now, now + ClaimWorld.nanos(timeoutMillis), false);
    callers.put(id, one);
    world.oracle().submitted(global(id), key);
    long keyMillis = KeyTime.millis(key.key()).orElseThrow();
    if (!ClaimWorld.WINDOW.accepts(keyMillis, world.logMillis() + clockErrorMillis)) {
      finish(id, Optional.of(ClaimAnswer.of(ResultCode.KEY_EXPIRED)));
      return;
    }
    carryOut(coordinator.arrived(one, stream.fold().claim(key), world.isLogDown()));
  }

  private String global(long submission) {
    return name + "/" + submission;
  }

  void append(boolean answerLost) {
    LedgerRecord record = outbox.poll();
    if (record == null || world.isLogDown()) {
      Optional.ofNullable(record).ifPresent(outbox::addFirst);
      return;
    }
    RecordBatch batch = RecordBatch.of(name, ++sequence, List.of(record));
    world.append(batch);
    if (answerLost) {
      world.append(batch);
    }
  }

  boolean hasUnsent() {
    return !outbox.isEmpty();
  }

  void read(int records) {
    for (int i = 0; i < records && stream.nextOffset() < world.logSize(); i++) {
      world.apply(stream, this::judged);
    }
  }

  private void judged(LedgerRecord record, boolean effective) {
    Optional<RequestKey> key =
        switch (record) {
          case RequestClaimed one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          case RequestReleased one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          case RequestSettled one -> Optional.of(new RequestKey(one.workspace(), one.key()));
          default -> Optional.empty();
        };
    Optional<ClaimState> known = stream.fold().claim(key.orElseThrow());
    boolean inWindow = stream.fold().isInWindow(key.get());
    carryOut(coordinator.readBack(record, effective, known, inWindow, decisionNanos()));
  }

  /** A variant that denies by its own timer looks at no clock where the coordinator would. */
  private long decisionNanos() {
    return world.has(ClaimDefect.DENIES_WITHOUT_GIVING_UP) ? 0 : world.nowNanos();
  }

  void tick() {
    if (world.has(ClaimDefect.DENIES_WITHOUT_GIVING_UP)) {
      List.copyOf(callers.values()).stream()
          .filter(one -> !handed.contains(one.id()) && !asking.containsKey(one.id()))
          .filter(
              one -> world.nowNanos() - one.arrivedNanos() >= ClaimWorld.LIMITS.claimWaitNanos())
          .forEach(
              one -> finish(one.id(), Optional.of(ClaimAnswer.of(ResultCode.DEADLINE_PASSED))));
    } else {
      carryOut(coordinator.ticked(world.nowNanos()));
    }
    List.copyOf(asking.values()).stream()
        .filter(ask -> world.nowNanos() >= ask.submission().deadlineNanos())
        .forEach(ask -> replied(new Reply(ask, Optional.empty())));
  }

  void check() {
    ClaimDecision.Dispatch one = unchecked.poll();
    if (one == null) {
      return;
    }
    DispatchCheck check = coordinator.mayDispatch(one.key(), one.attempt(), decisionNanos());
    carryOut(check.decisions());
    if (check.allowed() || world.has(ClaimDefect.SKIPS_THE_LAST_CHECK)) {
      permitted.add(one);
    } else {
      ended(one, new ClaimResult.NotRun(ResultCode.DEADLINE_PASSED, 0));
    }
  }

  void send(boolean refused) {
    ClaimDecision.Dispatch one = permitted.poll();
    if (one == null) {
      return;
    }
    if (refused) {
      ended(one, new ClaimResult.NotRun(ResultCode.UPSTREAM_REFUSED, 0));
      return;
    }
    world.oracle().started(global(one.submission()), one.key());
    calls.add(one);
  }

  void answer(int choice) {
    take(choice).ifPresent(one -> ended(one, answered(one.key())));
  }

  void loseAnswer(int choice) {
    take(choice).ifPresent(one -> ended(one, new ClaimResult.Lost()));
  }

  /** The connection gives the answer, or the refusal, of another request. */
  void crossAnswer(int choice) {
    take(choice).ifPresent(one -> ended(one, crossed()));
  }

  private ClaimResult crossed() {
    if (world.has(ClaimDefect.IGNORES_THE_REQUEST_ID)) {
      return answered(new RequestKey("workspace", "another"));
    }
    return world.has(ClaimDefect.TRUSTS_A_REFUSAL_OF_ANOTHER_REQUEST)
        ? new ClaimResult.NotRun(ResultCode.UPSTREAM_REFUSED, 0)
        : new ClaimResult.Lost();
  }

  private Optional<ClaimDecision.Dispatch> take(int choice) {
    return calls.isEmpty() ? Optional.empty() : Optional.of(calls.remove(choice % calls.size()));
  }

  private static ClaimResult answered(RequestKey key) {
    byte[] body = key.key().getBytes(StandardCharsets.UTF_8);
    return new ClaimResult.Answered(ClaimAnswer.upstream(200, "text/plain", body));
  }

  private void ended(ClaimDecision.Dispatch one, ClaimResult result) {
    carryOut(coordinator.dispatched(one.key(), one.attempt(), result));
  }

  void ask() {
    ClaimDecision.AskOwner ask = asks.poll();
    if (ask == null) {
      return;
    }
    Optional<ClaimNode> owner = world.node(ask.claim().entry());
    if (owner.isPresent() && !owner.get().frozen) {
      owner.get().queried(this, ask);
    } else if (owner.isPresent()) {
      asks.add(ask);
    } else if (world.has(ClaimDefect.RUNS_FOR_A_LOST_OWNER)) {
      ClaimSubmission one = ask.submission();
      permitted.add(new ClaimDecision.Dispatch(one.id(), one.key(), ask.claim().attempt() + 1));
    } else {
      replied(new Reply(ask, Optional.empty()));
    }
  }

  private void queried(ClaimNode asker, ClaimDecision.AskOwner ask) {
    ClaimSubmission from = ask.submission();
    long id = ++lastSubmission;
    askers.put(id, new Asked(asker, ask));
    ClaimSubmission one =
        new ClaimSubmission(id, from.key(), world.nowNanos(), from.deadlineNanos(), true);
    carryOut(coordinator.arrived(one, stream.fold().claim(from.key()), world.isLogDown()));
  }

  void reply() {
    Optional.ofNullable(replies.poll()).ifPresent(this::replied);
  }

  private void replied(Reply reply) {
    ClaimSubmission one = reply.ask().submission();
    if (asking.remove(one.id()) != null) {
      carryOut(coordinator.ownerReplied(one, reply.answer(), stream.fold().claim(one.key())));
    }
  }

  private void carryOut(List<ClaimDecision> decisions) {
    decisions.forEach(this::carryOut);
  }

  private void carryOut(ClaimDecision decision) {
    switch (decision) {
      case ClaimDecision.Append append -> {
        outbox.add(append.record());
        if (world.has(ClaimDefect.DISPATCHES_BEFORE_READ_BACK)
            && append.record() instanceof RequestClaimed claimed) {
          carryOut(coordinator.readBack(claimed, true, Optional.empty(), true, world.nowNanos()));
        }
      }
      case ClaimDecision.Dispatch dispatch -> {
        handed.add(dispatch.submission());
        unchecked.add(dispatch);
      }
      case ClaimDecision.Answer answer -> finish(answer.submission(), Optional.of(answer.answer()));
      case ClaimDecision.Disown disown -> finish(disown.submission(), Optional.empty());
      case ClaimDecision.AskOwner ask -> {
        asks.add(ask);
        asking.put(ask.submission().id(), ask);
      }
    }
  }

  private void finish(long submission, Optional<ClaimAnswer> answer) {
    Asked asked = askers.remove(submission);
    if (asked != null) {
      asked.asker().replies.add(new Reply(asked.ask(), answer));
    } else if (callers.remove(submission) != null) {
      world.oracle().answered(global(submission), answer.orElseThrow());
    }
  }

  /**
   * A killed process: its callers get nothing, what it sent goes on, an append may be under way.
   */
  void kill(boolean appendUnderWay) {
    if (appendUnderWay) {
      append(false);
    }
    callers.keySet().forEach(id -> world.oracle().abandoned(global(id)));
  }

  /** A peer's query that waits here. */
  private record Asked(ClaimNode asker, ClaimDecision.AskOwner ask) {}

  /** An owner's reply on its way. */
  private record Reply(ClaimDecision.AskOwner ask, Optional<ClaimAnswer> answer) {}
}
