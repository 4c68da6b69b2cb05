package org.lavenderstage.bench.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lavenderstage.bench.policy.EventLoop;

/** Simulates nine entries and thirty executors in virtual time, with one routing policy. */
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
  private List<String> executorList = new ArrayList<>();
  private int leavingExecutor = -1;

  Deployment(PolicyKind kind, long seed, CallLog log) {
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.log = log;
    for (int i = 0; i < EXECUTORS; i++) {
      FakeExecutor executor = new FakeExecutor(loop, FakeEntry.SLOTS);
      executors.add(executor);
      executorsByName.put(executorName(i), executor);
      executorList.add(executorName(i));
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

  /** Returns the live executors according to the platform's list, which lags behind. */
  List<String> listedExecutors() {
    return executorList;
  }

  boolean isLeaving(int executor) {
    return executor == leavingExecutor;
  }

  /** Marks an executor as leaving; the platform's list drops it after a lag. */
  void startLeaving(int executor, long lagNanos) {
    leavingExecutor = executor;
    loop.schedule(
        lagNanos,
        () -> {
          List<String> next = new ArrayList<>(executorList);
          next.remove(executorName(executor));
          executorList = next;
        });
  }

  /** Runs an action after the one-way latency of the network. */
  void hop(Runnable action) {
    loop.schedule(HOP_NANOS + random.nextLong(HOP_JITTER_NANOS), action);
  }

  /** Submits a call to an entry, or to the central queue where the policy has no entries. */
  void submit(Call call, int entry) {
    if (entries.isEmpty()) {
      central.submit(call);
    } else {
      entries.get(entry).submit(call);
    }
  }

  /** Selects a random entry, as the load balancer does for a retry. */
  int randomEntry() {
    return random.nextInt(ENTRIES);
  }

  /** Schedules the arrivals, each when the one before it is due. */
  void scheduleArrivals(List<Arrival> arrivals) {
    scheduleArrivalsFrom(arrivals, 0);
  }

  private void scheduleArrivalsFrom(List<Arrival> arrivals, int index) {
    if (index < arrivals.size()) {
      Arrival arrival = arrivals.get(index);
      loop.schedule(
          arrival.atNanos() - loop.nowNanos(),
          () -> {
            submit(Call.first(arrival), arrival.entry());
            scheduleArrivalsFrom(arrivals, index + 1);
          });
    }
  }

  long overLimitRequests() {
    return executors.stream().mapToLong(FakeExecutor::overLimitRequests).sum();
  }
}
