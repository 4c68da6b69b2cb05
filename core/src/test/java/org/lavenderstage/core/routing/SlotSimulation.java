package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/**
 * Simulates the slots of several entries on a network that loses and delays messages, and counts
 * the requests that each executor actually runs.
 */
final class SlotSimulation {
  static final int SLOTS = 8;
  static final long MILLIS = 1_000_000;
  static final long LONGEST_REQUEST_NANOS = 2_000 * MILLIS;
  static final SlotTiming TIMING =
      new SlotTiming(10_000 * MILLIS, 5_000 * MILLIS, 3_000 * MILLIS, 1_000 * MILLIS);
  private static final int MAX_DELAY_MILLIS = 3_000;
  private static final double LOSS_PROBABILITY = 0.2;

  private final Random random;
  private final Defects defects;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<String> executors = List.of("x1", "x2", "x3");
  private final Map<String, Integer> runningRequests = new TreeMap<>();
  private final PriorityQueue<ScheduledAction> scheduled =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::at).thenComparingLong(ScheduledAction::order));

  /** The VM list as the entries read it, which lags behind the running entries. */
  private List<String> vmList;

  private long now;
  private long order;
  private int incarnations;
  private int replacements;
  private String partitionedA = "";
  private String partitionedB = "";
  private int maxOnOneExecutor;
  private long served;

  SlotSimulation(long seed, int entries, Defects defects) {
    this.random = new Random(seed);
    this.defects = defects;
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      vms.add("vm" + i);
    }
    vmList = vms;
    vms.forEach(this::start);
  }

  /**
   * Defects built into the protocol, to check that the simulation detects them.
   *
   * @param acknowledgesEverything whether each announcement acknowledges all epochs and names its
   *     recipient as the only owner
   * @param skipsBlocking whether a slot is free at once after a lost answer
   * @param timing times of the protocol, possibly wrong ones
   */
  record Defects(boolean acknowledgesEverything, boolean skipsBlocking, SlotTiming timing) {
    static final Defects NONE = new Defects(false, false, TIMING);
  }

  int maxRequestsOnOneExecutor() {
    return maxOnOneExecutor;
  }

  long served() {
    return served;
  }

  void apply(Step step) {
    String vm = step.kind() == Kind.START ? "vm" + step.vm() : runningEntry(step.vm());
    switch (step.kind()) {
      case TICK -> tick(step.amount());
      case SERVE -> serve(vm);
      case REQUEST_LOAN -> requestLoan(vm, runningEntry(step.amount()));
      case RETURN_SLOTS -> returnSlots(vm);
      case KILL -> kill(vm);
      case START -> start(vm);
      case REPLACE -> replace(vm);
      case PAUSE -> pause(vm, step.amount());
      case DRAIN -> drain(vm);
      case PARTITION -> partition(vm, runningEntry(step.amount()));
      case UPDATE_VM_LIST -> vmList = new ArrayList<>(nodes.keySet());
    }
  }

  private String runningEntry(int index) {
    return List.copyOf(nodes.keySet()).get(index % nodes.size());
  }

  private void tick(int amount) {
    now += (50 + amount * 8L) * MILLIS;
    while (!scheduled.isEmpty() && scheduled.peek().at() <= now) {
      scheduled.remove().action().run();
    }
    for (Node node : nodes.values()) {
      if (node.isAwake(now)) {
        node.runPendingActions();
        node.shares.updateVms(vmList, executors, now);
        node.shares.step(now);
        SlotAnnouncement announcement = node.shares.announce(now);
        nodes.keySet().forEach(peer -> sendAnnouncement(node, peer, announcement));
      }
    }
    if (nodes.values().stream().filter(node -> node.isAwake(now)).count() < 3) {
      partitionedA = "";
    }
  }

  private void sendAnnouncement(Node from, String to, SlotAnnouncement announcement) {
    boolean draining = from.draining;
    SlotAnnouncement sent =
        defects.acknowledgesEverything() ? acknowledgingAll(announcement, to) : announcement;
    send(from.vm, to, node -> node.shares.receiveAnnouncement(sent, draining, now));
  }

  private SlotAnnouncement acknowledgingAll(SlotAnnouncement announcement, String to) {
    List<SlotAnnouncement.Ack> acks = new ArrayList<>();
    for (Node node : nodes.values()) {
      acks.add(new SlotAnnouncement.Ack(node.vm, node.incarnation, Long.MAX_VALUE));
    }
    return new SlotAnnouncement(
        announcement.vm(),
        announcement.incarnation(),
        announcement.sequence(),
        announcement.epoch(),
        List.of(to),
        acks);
  }

  private void send(String from, String to, java.util.function.Consumer<Node> action) {
    boolean partitioned =
        (partitionedA.equals(from) && partitionedB.equals(to))
            || (partitionedA.equals(to) && partitionedB.equals(from));
    if (from.equals(to) || partitioned || random.nextDouble() < LOSS_PROBABILITY) {
      return;
    }
    long delay = random.nextInt(4) == 0 ? random.nextInt(MAX_DELAY_MILLIS) : random.nextInt(50);
    schedule(delay * MILLIS, () -> deliver(to, action));
  }

  private void deliver(String to, java.util.function.Consumer<Node> action) {
    Node node = nodes.get(to);
    if (node == null) {
      return;
    }
    if (node.isAwake(now)) {
      action.accept(node);
    } else {
      node.pendingActions.add(action);
    }
  }

  private void schedule(long delay, Runnable action) {
    scheduled.add(new ScheduledAction(now + delay, order++, action));
  }

  private void serve(String vm) {
    Node node = nodes.get(vm);
    if (node == null || !node.isAwake(now)) {
      return;
    }
    for (String executor : executors) {
      Optional<SlotTicket> ticket = node.shares.acquire(executor, LONGEST_REQUEST_NANOS, now);
      while (ticket.isPresent()) {
        run(node, ticket.get());
        ticket = node.shares.acquire(executor, LONGEST_REQUEST_NANOS, now);
      }
    }
  }

  private void run(Node node, SlotTicket ticket) {
    String executor = ticket.executor();
    served++;
    maxOnOneExecutor = Math.max(maxOnOneExecutor, runningRequests.merge(executor, 1, Integer::sum));
    long duration = LONGEST_REQUEST_NANOS / 2 + random.nextLong(LONGEST_REQUEST_NANOS / 2);
    schedule(duration, () -> runningRequests.merge(executor, -1, Integer::sum));
    boolean lost = random.nextInt(8) == 0;
    long endReportedAfter = lost ? random.nextLong(duration) : duration;
    long blockNanos = lost && !defects.skipsBlocking() ? LONGEST_REQUEST_NANOS : 0;
    schedule(endReportedAfter, () -> end(node, ticket, blockNanos));
  }

  private void end(Node node, SlotTicket ticket, long blockNanos) {
    if (node.isAwake(now)) {
      node.shares.release(ticket, blockNanos, now);
    } else {
      node.pendingActions.add(woken -> woken.shares.release(ticket, blockNanos, now));
    }
  }

  private void requestLoan(String borrower, String lender) {
    Node borrowerNode = nodes.get(borrower);
    if (borrowerNode == null || !borrowerNode.isAwake(now)) {
      return;
    }
    long requestedAt = now;
    send(borrower, lender, node -> grantLoan(node, borrowerNode, requestedAt));
  }

  private void grantLoan(Node lender, Node borrowerNode, long requestedAt) {
    List<SlotLoan> lent = lender.shares.lend(2, executor -> true, now);
    send(
        lender.vm,
        borrowerNode.vm,
        node -> {
          if (node.incarnation.equals(borrowerNode.incarnation)) {
            node.shares.addBorrowed(lender.vm, lent, requestedAt);
          }
        });
  }

  private void returnSlots(String vm) {
    Node node = nodes.get(vm);
    if (node != null && node.isAwake(now)) {
      node.shares
          .removeIdleBorrowed()
          .forEach((lender, loans) -> send(vm, lender, to -> to.shares.endLoans(loans, now)));
    }
  }

  private void kill(String vm) {
    if (nodes.size() > 3) {
      nodes.remove(vm);
    }
  }

  private void start(String vm) {
    if (!nodes.containsKey(vm)) {
      incarnations++;
      nodes.put(vm, new Node(vm, vm + "-" + incarnations, defects.timing(), now));
    }
  }

  /** Kills an entry and starts one on a new VM; the VM list reflects both changes at once. */
  private void replace(String vm) {
    if (nodes.remove(vm) != null) {
      replacements++;
      start("new" + replacements);
      vmList = new ArrayList<>(nodes.keySet());
    }
  }

  private void pause(String vm, int amount) {
    if (nodes.containsKey(vm)) {
      nodes.get(vm).pausedUntil = now + amount * 200L * MILLIS;
    }
  }

  private void drain(String vm) {
    Node node = nodes.get(vm);
    if (node != null && node.isAwake(now) && nodes.size() > 3) {
      node.draining = true;
      node.shares.drain();
    }
  }

  private void partition(String a, String b) {
    partitionedA = a;
    partitionedB = b;
  }

  /** One step of the simulation. */
  record Step(Kind kind, int vm, int amount) {}

  /** The kinds of steps. */
  enum Kind {
    TICK,
    SERVE,
    REQUEST_LOAN,
    RETURN_SLOTS,
    KILL,
    START,
    REPLACE,
    PAUSE,
    DRAIN,
    PARTITION,
    UPDATE_VM_LIST
  }

  private record ScheduledAction(long at, long order, Runnable action) {}

  /** A running entry. */
  private static final class Node {
    private final String vm;
    private final String incarnation;
    private final SlotShares shares;
    private final List<java.util.function.Consumer<Node>> pendingActions = new ArrayList<>();
    private boolean draining;
    private long pausedUntil;

    Node(String vm, String incarnation, SlotTiming timing, long now) {
      this.vm = vm;
      this.incarnation = incarnation;
      this.shares = new SlotShares(vm, incarnation, SLOTS, timing, now);
      this.pausedUntil = now;
    }

    boolean isAwake(long now) {
      return now >= pausedUntil;
    }

    void runPendingActions() {
      List<java.util.function.Consumer<Node>> actions = List.copyOf(pendingActions);
      pendingActions.clear();
      actions.forEach(action -> action.accept(this));
    }
  }
}
