package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The executors of a case. They share one lock, and one thread ends what is over and joins gangs.
 * What a task does is told by its spec, a list like {@code work=500;gang=3;saves=2000}: its work in
 * milliseconds (0: it lasts), the size of its gang, and the interval of its checkpoints.
 */
final class Fleet implements AutoCloseable {
  static final long GANG_TIMEOUT_MILLIS = 3_000;
  private static final long TICK_MILLIS = 5;
  private static final long HEARTBEAT_MILLIS = 1_500;

  final Object lock = new Object();
  final Transcript transcript;
  final Store store;
  final List<Executor> executors = new ArrayList<>();
  final Map<String, Gang> gangs = new HashMap<>();

  /** Ends by task name and kind, for the checks. */
  final Map<String, Map<String, Integer>> endsByTask = new TreeMap<>();

  int startedRuns;
  int doneRuns;
  private volatile boolean closed;
  private final Thread ticker;

  /** The members of one run of a gang, by the checkpoint that they were started with. */
  static final class Gang {
    final int size;
    final Map<String, List<Executor.ActiveRun>> waiting = new HashMap<>();
    List<Executor.ActiveRun> working = List.of();

    Gang(int size) {
      this.size = size;
    }
  }

  Fleet(Transcript transcript, Store store) {
    this.transcript = transcript;
    this.store = store;
    ticker = Thread.ofPlatform().daemon().name("ticker").start(this::tick);
  }

  Executor add(String service, int cpu, int memoryMb, String rack) throws IOException {
    Executor executor =
        new Executor(this, "i-" + (1000 + executors.size()), service, cpu, memoryMb, rack);
    synchronized (lock) {
      executors.add(executor);
      executor.publish();
    }
    return executor;
  }

  int runningCount() {
    synchronized (lock) {
      return executors.stream().mapToInt(e -> e.running.size()).sum();
    }
  }

  private void tick() {
    long nextHeartbeat = Transcript.nowMillis() + HEARTBEAT_MILLIS;
    while (!closed) {
      synchronized (lock) {
        for (Executor executor : executors) {
          executor.endWhatIsOver();
        }
        if (Transcript.nowMillis() >= nextHeartbeat) {
          nextHeartbeat += HEARTBEAT_MILLIS;
          executors.stream().filter(e -> e.up).forEach(Executor::publish);
        }
      }
      try {
        Thread.sleep(TICK_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  void recordEnd(String task, String how) {
    endsByTask.computeIfAbsent(task, key -> new TreeMap<>()).merge(how, 1, Integer::sum);
    if (how.equals("done")) {
      doneRuns++;
    }
  }

  @Override
  public void close() {
    closed = true;
    ticker.interrupt();
    executors.forEach(Executor::close);
  }
}
