package org.lavenderstage.bench.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lavenderstage.bench.policy.EventLoop;

/** Nine entries and thirty executors in virtual time, with one policy. */
final class Deployment {
  static final int ENTRIES = 9;
  static final int EXECUTORS = 30;
  static final int ALL_SLOTS = EXECUTORS * FakeEntry.SLOTS;
  static final long START_NANOS = 4_000_000_000L;
  private static final long HOP_NANOS = 500_000;
  private static final long HOP_JITTER_NANOS = 200_000;
  private static final long START_SPREAD_NANOS = 50_000_000;

  private final EventLoop loop = new EventLoop();
  private final UniformRandomProvider random;
  private final CallLog log;
  private final List<FakeExecutor> executors = new ArrayList<>();
  private final Map<String, FakeExecutor> executorsByName = new HashMap<>();
  private final List<FakeEntry> entries = new ArrayList<>();
  private final Map<String, FakeEntry> entriesByName = new HashMap<>();
  private final List<String> entryNames = new ArrayList<>();
  private final CentralQueue central;
  private List<String> listed = new ArrayList<>();
  private int leaving = -1;

  Deployment(PolicyKind kind, long seed, CallLog log) {
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.log = log;
    for (int i = 0; i < EXECUTORS; i++) {
      FakeExecutor executor = new FakeExecutor(loop, FakeEntry.SLOTS);
      executors.add(executor);
      executorsByName.put(executorName(i), executor);
      listed.add(executorName(i));
    }
    central = new CentralQueue(this, EXECUTORS);
    for (int i = 0; i < ENTRIES; i++) {
      entryNames.add(entryName(i));
    }
    for (int i = 0; kind != PolicyKind.CENTRAL && i < ENTRIES; i++) {
      FakeEntry entry = new FakeEntry(this, i, kind, random);
      entries.add(entry);
      entriesByName.put(entry.vm(), entry);
      entry.start(i * START_SPREAD_NANOS);
    }
  }

  static String entryName(int index) {
    return "entry-" + index;
  }

  static String executorName(int index) {
    return "executor-" + index;
  }

  EventLoop loop() {
    return loop;
  }

  CallLog log() {
    return log;
  }

  List<FakeEntry> entries() {
    return entries;
  }

  FakeEntry entry(String name) {
    return entriesByName.get(name);
  }

  List<String> entryNames() {
    return entryNames;
  }

  FakeExecutor executor(String name) {
    return executorsByName.get(name);
  }

  FakeExecutor executor(int index) {
    return executors.get(index);
  }

  /** The executors that the platform's list names as live, as late as the list is. */
  List<String> listedExecutors() {
    return listed;
  }

  boolean isLeaving(int executor) {
    return executor == leaving;
  }

  /** Lets an executor leave; the list tells of it after its lag. */
  void leave(int executor, long lagNanos) {
    leaving = executor;
    loop.schedule(
        lagNanos,
        () -> {
          List<String> next = new ArrayList<>(listed);
          next.remove(executorName(executor));
          listed = next;
        });
  }

  /** Brings something over the network, one way. */
  void hop(Runnable action) {
    loop.schedule(HOP_NANOS + random.nextLong(HOP_JITTER_NANOS), action);
  }

  /** Brings a call to its entry. */
  void submit(Call call, int entry) {
    if (entries.isEmpty()) {
      central.submit(call);
    } else {
      entries.get(entry).submit(call);
    }
  }

  /** Picks an entry as the balancer does for a caller that comes back. */
  int anyEntry() {
    return random.nextInt(ENTRIES);
  }

  /** Schedules the arrivals one after the other. */
  void play(List<Arrival> arrivals) {
    playFrom(arrivals, 0);
  }

  private void playFrom(List<Arrival> arrivals, int index) {
    if (index < arrivals.size()) {
      Arrival arrival = arrivals.get(index);
      loop.schedule(
          arrival.atNanos() - loop.nowNanos(),
          () -> {
            submit(Call.first(arrival), arrival.entry());
            playFrom(arrivals, index + 1);
          });
    }
  }

  long ninthRequests() {
    return executors.stream().mapToLong(FakeExecutor::ninthRequests).sum();
  }
}
