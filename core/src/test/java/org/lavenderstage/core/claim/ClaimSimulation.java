package org.lavenderstage.core.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.core.ledger.claim.ClaimWindow;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;

/**
 * Simulates several entries, one log and the upstreams in virtual time. Faults are steps of the
 * simulation.
 */
final class ClaimSimulation {
  static final ClaimWindow WINDOW = new ClaimWindow(4000, 500, 50);
  static final int MAX_CLAIMS = 1000;
  static final ClaimLimits LIMITS = new ClaimLimits(nanos(400), 100, 1, 200);

  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final long FAR_MILLIS = 1300;
  private static final int KEYS = 3;
  private static final int DRAIN_ROUNDS = 40;
  private static final long[] CLOCK_ERRORS_MILLIS = {0, -300, 40};

  private final ClaimDefect defect;
  private final ClaimOracle oracle = new ClaimOracle();
  private final List<ClaimNode> nodes = new ArrayList<>();
  private final List<RequestKey> keys = new ArrayList<>();
  private final List<RecordBatch> log = new ArrayList<>();
  private final List<RecordPosition> positions = new ArrayList<>();
  private long millis;
  private long lastKey;
  private int lastNode;
  private boolean logDown;

  ClaimSimulation(ClaimDefect defect, int entries) {
    this.defect = defect;
    for (int i = 0; i < entries; i++) {
      nodes.add(newNode(i));
    }
    for (int i = 0; i < KEYS; i++) {
      keys.add(newKey(0));
    }
  }

  private ClaimNode newNode(int index) {
    return new ClaimNode(this, "entry-" + ++lastNode, CLOCK_ERRORS_MILLIS[index]);
  }

  private RequestKey newKey(long aheadMillis) {
    long time = START_MILLIS + millis + aheadMillis;
    UUID uuid = new UUID((time << 16) | 0x7000, 0x8000000000000000L | ++lastKey);
    return new RequestKey("workspace", uuid.toString());
  }

  static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  long nowNanos() {
    return nanos(millis);
  }

  long logMillis() {
    return START_MILLIS + millis;
  }

  boolean isLogDown() {
    return logDown;
  }

  boolean has(ClaimDefect wanted) {
    return defect == wanted;
  }

  /**
   * Returns the window of the ledgers. With {@link ClaimDefect#REMOVES_CLAIMS_OF_VALID_KEYS}, a
   * claim is removed while a new claim of the same key is still valid.
   */
  ClaimWindow ledgerWindow() {
    return has(ClaimDefect.REMOVES_CLAIMS_OF_VALID_KEYS)
        ? new ClaimWindow(WINDOW.pastMillis(), WINDOW.pastMillis(), -WINDOW.pastMillis() * 9 / 20)
        : WINDOW;
  }

  ClaimOracle oracle() {
    return oracle;
  }

  RequestKey key(int choice) {
    return keys.get(choice % KEYS);
  }

  ClaimNode node(int index) {
    return nodes.get(index % nodes.size());
  }

  Optional<ClaimNode> node(String name) {
    return nodes.stream().filter(candidate -> candidate.name().equals(name)).findFirst();
  }

  void append(RecordBatch batch) {
    positions.add(new RecordPosition(log.size(), logMillis()));
    log.add(batch);
  }

  int logSize() {
    return log.size();
  }

  void apply(LedgerStream<ClaimLedger> stream, BiConsumer<LedgerRecord, Boolean> observer) {
    int offset = (int) stream.nextOffset();
    stream.apply(
        positions.get(offset),
        log.get(offset),
        (at, record, effective) -> observer.accept(record, effective));
  }

  void advance(long addedMillis) {
    millis += addedMillis;
  }

  void replace(int index, boolean appendInFlight) {
    int nodeIndex = index % nodes.size();
    nodes.get(nodeIndex).kill(appendInFlight);
    nodes.set(nodeIndex, newNode(nodeIndex));
  }

  void apply(ClaimStep step) {
    ClaimNode node = node(step.node());
    int choice = step.choice();
    switch (step.kind()) {
      case ADVANCE -> advance(1L << choice % 9);
      case ADVANCE_FAR -> advance(FAR_MILLIS);
      case NEW_KEY -> keys.set(choice % KEYS, newKey(choice % 7 == 0 ? 700 : 0));
      case LOG_DOWN -> logDown = true;
      case LOG_UP -> logDown = false;
      case PAUSE -> node.setPaused(true);
      case RESUME -> node.setPaused(false);
      case REPLACE -> replace(step.node(), choice % 2 == 0);
      // an append in flight continues while its process is paused
      case APPEND -> node.append(false);
      default -> {
        if (!node.isPaused()) {
          apply(step.kind(), node, choice);
        }
      }
    }
  }

  private void apply(ClaimStep.Kind kind, ClaimNode node, int choice) {
    switch (kind) {
      case SUBMIT -> node.submit(key(choice), 50L + choice % 5 * 300L);
      case APPEND_WITH_LOST_ANSWER -> node.append(true);
      case READ -> node.read(1 + choice % 8);
      case TICK -> node.tick();
      case CHECK -> node.check();
      case SEND -> node.send(false);
      case SEND_REFUSED -> node.send(true);
      case ANSWER -> node.answer(choice);
      case LOSE_ANSWER -> node.loseAnswer(choice);
      case SWAP_ANSWER -> node.swapAnswer(choice);
      case ASK -> node.ask();
      case REPLY -> node.reply();
      default -> throw new AssertionError(kind);
    }
  }

  /** Ends every fault and runs the simulation until nothing is pending. */
  void drain() {
    logDown = false;
    nodes.forEach(node -> node.setPaused(false));
    for (int round = 0; round < DRAIN_ROUNDS; round++) {
      nodes.forEach(ClaimSimulation::drainNode);
      if (unfinished().isEmpty()) {
        return;
      }
      advance(100);
    }
  }

  private static void drainNode(ClaimNode node) {
    while (node.hasUnsent()) {
      node.append(false);
    }
    node.read(Integer.MAX_VALUE);
    node.tick();
    for (int i = 0; i < 10; i++) {
      node.check();
      node.send(false);
      node.answer(0);
      node.ask();
      node.reply();
    }
  }

  /**
   * Returns violations of what must hold after {@link #drain}: every caller has an answer and all
   * ledgers are equal.
   */
  List<String> unfinished() {
    List<String> problems = new ArrayList<>();
    if (oracle.unanswered() > 0) {
      problems.add(oracle.unanswered() + " submissions without an answer");
    }
    for (ClaimNode node : nodes) {
      if (node.openKeys() > 0) {
        problems.add(node.name() + " has open requests: " + node.openKeys());
      }
      if (!node.digest().equals(nodes.getFirst().digest())) {
        problems.add(node.name() + " has a different digest");
      }
    }
    return problems;
  }
}
