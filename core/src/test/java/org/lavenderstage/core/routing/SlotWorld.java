package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;

/** Several entries' shares over a lossy, late network, and the executors' own count of requests. */
final class SlotWorld {
  static final int SLOTS = 8;
  static final long MILLIS = 1_000_000;
  static final long LONGEST_REQUEST = 2_000 * MILLIS;
  static final SlotTiming TIMING =
      new SlotTiming(10_000 * MILLIS, 5_000 * MILLIS, 3_000 * MILLIS, 1_000 * MILLIS);
  private static final int MAX_DELAY_MILLIS = 3_000;
  private static final double LOSS = 0.2;

  private final Random random;
  private final Faults faults;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final List<String> executors = List.of("x1", "x2", "x3");
  private final Map<String, Integer> running = new TreeMap<>();
  private final PriorityQueue<Timed> timed =
      new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::order));
  private List<String> laggingList;
  private long now;
  private long order;
  private int incarnations;
  private int replacements;
  private String cutA = "";
  private String cutB = "";
  private int most;
  private long served;

  SlotWorld(long seed, int entries, Faults faults) {
    this.random = new Random(seed);
    this.faults = faults;
    List<String> vms = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      vms.add("vm" + i);
    }
    laggingList = vms;
    vms.forEach(this::start);
  }

  /** Which part of the mechanism is left out. */
  record Faults(boolean ackAll, boolean noRest, SlotTiming timing) {
    static final Faults NONE = new Faults(false, false, TIMING);
  }

  int mostOnOneExecutor() {
    return most;
  }

  long served() {
    return served;
  }

  void apply(Step step) {
    String vm = step.kind() == Kind.START ? "vm" + step.vm() : running(step.vm());
    switch (step.kind()) {
      case TICK -> tick(step.amount());
      case SERVE -> serve(vm);
      case LEND -> lend(vm, running(step.amount()));
      case RETURN -> giveBack(vm);
      case KILL -> kill(vm);
      case START -> start(vm);
      case REPLACE -> replace(vm);
      case FREEZE -> freeze(vm, step.amount());
      case DRAIN -> drain(vm);
      case CUT -> cut(vm, running(step.amount()));
      case LIST -> laggingList = new ArrayList<>(nodes.keySet());
    }
  }

  private String running(int index) {
    return List.copyOf(nodes.keySet()).get(index % nodes.size());
  }

  private void tick(int amount) {
    now += (50 + amount * 8L) * MILLIS;
    while (!timed.isEmpty() && timed.peek().at() <= now) {
      timed.remove().action().run();
    }
    for (Node node : nodes.values()) {
      if (node.isAwake(now)) {
        node.wake();
        node.shares.updateVms(laggingList, executors, now);
        node.shares.step(now);
        SlotAnnouncement said = node.shares.announce(now);
        nodes.keySet().forEach(peer -> sendAnnouncement(node, peer, said));
      }
    }
    if (nodes.values().stream().filter(node -> node.isAwake(now)).count() < 3) {
      cutA = "";
    }
  }

  private void sendAnnouncement(Node from, String to, SlotAnnouncement said) {
    boolean draining = from.draining;
    SlotAnnouncement told = faults.ackAll() ? acknowledgingAll(said, to) : said;
    send(from.vm, to, node -> node.shares.receiveAnnouncement(told, draining, now));
  }

  private SlotAnnouncement acknowledgingAll(SlotAnnouncement said, String to) {
    List<SlotAnnouncement.Ack> acks = new ArrayList<>();
    for (Node node : nodes.values()) {
      acks.add(new SlotAnnouncement.Ack(node.vm, node.incarnation, Long.MAX_VALUE));
    }
    return new SlotAnnouncement(
        said.vm(), said.incarnation(), said.sequence(), said.epoch(), List.of(to), acks);
  }

  private void send(String from, String to, java.util.function.Consumer<Node> action) {
    boolean cut = (cutA.equals(from) && cutB.equals(to)) || (cutA.equals(to) && cutB.equals(from));
    if (from.equals(to) || cut || random.nextDouble() < LOSS) {
      return;
    }
    long delay = random.nextInt(4) == 0 ? random.nextInt(MAX_DELAY_MILLIS) : random.nextInt(50);
    after(delay * MILLIS, () -> deliver(to, action));
  }

  private void deliver(String to, java.util.function.Consumer<Node> action) {
    Node node = nodes.get(to);
    if (node == null) {
      return;
    }
    if (node.isAwake(now)) {
      action.accept(node);
    } else {
      node.inbox.add(action);
    }
  }

  private void after(long delay, Runnable action) {
    timed.add(new Timed(now + delay, order++, action));
  }

  private void serve(String vm) {
    Node node = nodes.get(vm);
    if (node == null || !node.isAwake(now)) {
      return;
    }
    for (String executor : executors) {
      Optional<SlotTicket> ticket = node.shares.acquire(executor, LONGEST_REQUEST, now);
      while (ticket.isPresent()) {
        run(node, ticket.get());
        ticket = node.shares.acquire(executor, LONGEST_REQUEST, now);
      }
    }
  }

  private void run(Node node, SlotTicket ticket) {
    String executor = ticket.executor();
    served++;
    most = Math.max(most, running.merge(executor, 1, Integer::sum));
    long time = LONGEST_REQUEST / 2 + random.nextLong(LONGEST_REQUEST / 2);
    after(time, () -> running.merge(executor, -1, Integer::sum));
    boolean lost = random.nextInt(8) == 0;
    long told = lost ? random.nextLong(time) : time;
    long rest = lost && !faults.noRest() ? LONGEST_REQUEST : 0;
    after(told, () -> end(node, ticket, rest));
  }

  private void end(Node node, SlotTicket ticket, long rest) {
    if (node.isAwake(now)) {
      node.shares.release(ticket, rest, now);
    } else {
      node.inbox.add(same -> same.shares.release(ticket, rest, now));
    }
  }

  private void lend(String borrower, String lender) {
    Node asking = nodes.get(borrower);
    if (asking == null || !asking.isAwake(now)) {
      return;
    }
    long askedAt = now;
    send(borrower, lender, node -> answer(node, asking, askedAt));
  }

  private void answer(Node lender, Node asking, long askedAt) {
    List<SlotLoan> lent = lender.shares.lend(2, executor -> true, now);
    send(
        lender.vm,
        asking.vm,
        node -> {
          if (node.incarnation.equals(asking.incarnation)) {
            node.shares.addBorrowed(lender.vm, lent, askedAt);
          }
        });
  }

  private void giveBack(String vm) {
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
      nodes.put(vm, new Node(vm, vm + "-" + incarnations, faults.timing(), now));
    }
  }

  /** Kills an entry; a new one on a new VM takes its place, and the list tells of both at once. */
  private void replace(String vm) {
    if (nodes.remove(vm) != null) {
      replacements++;
      start("new" + replacements);
      laggingList = new ArrayList<>(nodes.keySet());
    }
  }

  private void freeze(String vm, int amount) {
    if (nodes.containsKey(vm)) {
      nodes.get(vm).frozenUntil = now + amount * 200L * MILLIS;
    }
  }

  private void drain(String vm) {
    Node node = nodes.get(vm);
    if (node != null && node.isAwake(now) && nodes.size() > 3) {
      node.draining = true;
      node.shares.drain();
    }
  }

  private void cut(String a, String b) {
    cutA = a;
    cutB = b;
  }

  /** One thing that happens. */
  record Step(Kind kind, int vm, int amount) {}

  /** What can happen. */
  enum Kind {
    TICK,
    SERVE,
    LEND,
    RETURN,
    KILL,
    START,
    REPLACE,
    FREEZE,
    DRAIN,
    CUT,
    LIST
  }

  private record Timed(long at, long order, Runnable action) {}

  /** One running entry. */
  private static final class Node {
    private final String vm;
    private final String incarnation;
    private final SlotShares shares;
    private final List<java.util.function.Consumer<Node>> inbox = new ArrayList<>();
    private boolean draining;
    private long frozenUntil;

    Node(String vm, String incarnation, SlotTiming timing, long now) {
      this.vm = vm;
      this.incarnation = incarnation;
      this.shares = new SlotShares(vm, incarnation, SLOTS, timing, now);
      this.frozenUntil = now;
    }

    boolean isAwake(long now) {
      return now >= frozenUntil;
    }

    void wake() {
      List<java.util.function.Consumer<Node>> waiting = List.copyOf(inbox);
      inbox.clear();
      waiting.forEach(action -> action.accept(this));
    }
  }
}
