package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Tasks that disturb each other as queues do: a serving task's tail is its floor over what is left
 * of its utilization, of which its own load takes a part that moves over time, and the filling
 * tasks beside it the rest. Filling tasks share the processors that nothing else uses.
 */
final class SimulatedInterference {
  static final int FLOOR_MILLIS = 25;
  private static final double MOST_UTILIZATION = 0.98;
  private static final double TAIL_NOISE = 0.08;

  private final Map<String, Map<String, Double>> pressures = new HashMap<>();
  private final Random random;
  private final double meanLoad;
  private final double swing;
  private final long periodMillis;

  /** Tail of a serving task without any load, in milliseconds. */
  int floorMillis = FLOOR_MILLIS;

  /** Time over which a reported tail is averaged, in milliseconds; 0 for that of the moment. */
  long spanMillis;

  /** Part by which the pressure of each pair rises and falls. */
  double pressureSwing;

  /** Time over target on end, in milliseconds, by task. */
  private final Map<TaskId, Long> overSince = new HashMap<>();

  /** Time on end over a target that a task's own load would meet, in milliseconds, by task. */
  private final Map<TaskId, Long> harmedSince = new HashMap<>();

  private final Map<TaskId, Deque<Tail>> tails = new HashMap<>();

  double fillingCoreMillis;
  long servingMillis;
  long overMillis;
  long longestOverMillis;
  long longestHarmMillis;

  /** A tail at a time. */
  private record Tail(long at, double millis) {}

  /** A task on a worker and the part of its speed that it is let work at. */
  record ActiveTask(TaskId task, StepSpec spec, double speed) {}

  SimulatedInterference(long seed, double meanLoad, double swing, long periodMillis) {
    random = new Random(seed);
    this.meanLoad = meanLoad;
    this.swing = swing;
    this.periodMillis = periodMillis;
  }

  /** Sets by how much a whole worker of a filling image raises a serving image's utilization. */
  void setCoefficient(String filling, String serving, double pressure) {
    pressures.computeIfAbsent(filling, key -> new HashMap<>()).put(serving, pressure);
  }

  private double own(TaskId task, long now) {
    return meanLoad * (1 + swing * swing(task.job().hashCode(), now));
  }

  /** Returns -1 to 1, by a sine whose phase depends on a hash. */
  private double swing(int hash, long now) {
    double phase = Math.floorMod(hash, 100) / 100.0;
    return Math.sin(2 * Math.PI * (now / (double) periodMillis + phase));
  }

  private double tail(double utilization) {
    return floorMillis / (1 - Math.min(MOST_UTILIZATION, utilization));
  }

  private double utilization(SimulatedWorker worker, TaskId task, StepSpec spec, long now) {
    double sum = own(task, now);
    for (ActiveTask share : worker.shares()) {
      if (share.spec().filling()) {
        double pressure =
            pressures.getOrDefault(share.spec().image(), Map.of()).getOrDefault(spec.image(), 0.0);
        int pair = 31 * share.spec().image().hashCode() + spec.image().hashCode();
        pressure *= 1 + pressureSwing * swing(pair, now);
        sum += pressure * share.speed() * share.spec().cpuMillis() / worker.cpuMillis;
      }
    }
    return Math.min(MOST_UTILIZATION, sum);
  }

  private double speed(SimulatedWorker worker, long now) {
    double unused = worker.cpuMillis;
    double wanted = 0;
    for (ActiveTask share : worker.shares()) {
      if (share.spec().filling()) {
        wanted += share.spec().cpuMillis() * share.speed();
      } else {
        double use = Worker.serves(share.spec()) ? own(share.task(), now) : 1;
        unused -= share.spec().cpuMillis() * use;
      }
    }
    return wanted <= unused ? 1 : Math.max(0, unused / wanted);
  }

  /** Lets what runs on a worker go on for some time. */
  void advance(SimulatedWorker worker, long millis, long now) {
    double speed = speed(worker, now);
    for (ActiveTask share : worker.shares()) {
      StepSpec spec = share.spec();
      if (spec.filling()) {
        double worked = millis * share.speed() * speed;
        worker.work(share.task(), worked);
        fillingCoreMillis += worked * spec.cpuMillis() / 1_000;
      } else if (Worker.serves(spec)) {
        servingMillis += millis;
        double tail = tail(utilization(worker, share.task(), spec, now));
        keep(share.task(), new Tail(now, tail));
        boolean meetsAlone = tail(own(share.task(), now)) <= spec.tailTargetMillis();
        if (tail <= spec.tailTargetMillis() || !meetsAlone) {
          harmedSince.remove(share.task());
        } else {
          long since = harmedSince.computeIfAbsent(share.task(), key -> now);
          longestHarmMillis = Math.max(longestHarmMillis, now - since);
        }
        if (tail <= spec.tailTargetMillis()) {
          overSince.remove(share.task());
        } else {
          overMillis += millis;
          long since = overSince.computeIfAbsent(share.task(), key -> now);
          longestOverMillis = Math.max(longestOverMillis, now - since);
        }
      }
    }
  }

  private void keep(TaskId task, Tail tail) {
    Deque<Tail> kept = tails.computeIfAbsent(task, key -> new ArrayDeque<>());
    kept.add(tail);
    while (kept.peek().at() <= tail.at() - spanMillis && kept.size() > 1) {
      kept.remove();
    }
  }

  /** Returns the rough figure that a worker reports of a task. */
  int load(SimulatedWorker worker, TaskId task, long now) {
    for (ActiveTask share : worker.shares()) {
      if (share.task().equals(task)) {
        StepSpec spec = share.spec();
        if (spec.filling()) {
          return (int) (spec.cpuMillis() * share.speed() * speed(worker, now));
        }
        double noise = 1 + TAIL_NOISE * random.nextGaussian();
        double tail =
            spanMillis > 0 && tails.containsKey(task)
                ? tails.get(task).stream().mapToDouble(Tail::millis).average().orElseThrow()
                : tail(utilization(worker, task, spec, now));
        return Worker.serves(spec) ? (int) Math.round(tail * noise) : spec.cpuMillis();
      }
    }
    return 0;
  }
}
