package org.lavenderstage.core.pool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.TaskId;

/**
 * Simulates interference between the tasks of a worker. The tail latency of a serving task is that
 * of a queue: its base latency / (1 - utilization). Its utilization is the sum of its own load,
 * which varies over time, and the interference of the best-effort tasks on the worker. Best-effort
 * tasks share the processors that no other task uses.
 */
final class SimulatedInterference {
  static final int BASE_LATENCY_MILLIS = 25;
  private static final double MAX_UTILIZATION = 0.98;
  private static final double LATENCY_NOISE = 0.08;

  private final Map<String, Map<String, Double>> coefficients = new HashMap<>();
  private final Random random;
  private final double meanUtilization;
  private final double swing;
  private final long periodMillis;

  /** Tail latency of a serving task without load, in milliseconds. */
  int baseLatencyMillis = BASE_LATENCY_MILLIS;

  /**
   * Time over which a reported tail latency is averaged, in milliseconds; 0 for the current one.
   */
  long windowMillis;

  /** Relative amplitude by which the coefficient of each pair varies. */
  double coefficientSwing;

  /** Start of the current time over target in milliseconds, by task. */
  private final Map<TaskId, Long> overTargetSince = new HashMap<>();

  /**
   * Start of the current time over a target that the task would meet without interference, in
   * milliseconds, by task.
   */
  private final Map<TaskId, Long> overTargetByInterferenceSince = new HashMap<>();

  private final Map<TaskId, Deque<LatencySample>> latencies = new HashMap<>();

  double bestEffortCoreMillis;
  long servingMillis;
  long overTargetMillis;
  long longestOverTargetMillis;
  long longestOverTargetByInterferenceMillis;

  /** A tail latency with the time at which it was sampled. */
  private record LatencySample(long timeMillis, double latencyMillis) {}

  /** A task on a worker and the fraction of its full speed that it is allowed. */
  record ActiveTask(TaskId task, StepSpec spec, double speed) {}

  SimulatedInterference(long seed, double meanUtilization, double swing, long periodMillis) {
    random = new Random(seed);
    this.meanUtilization = meanUtilization;
    this.swing = swing;
    this.periodMillis = periodMillis;
  }

  /**
   * Sets by how much a best-effort image that uses a whole worker raises the utilization of a
   * serving image.
   */
  void setCoefficient(String bestEffort, String serving, double coefficient) {
    coefficients.computeIfAbsent(bestEffort, key -> new HashMap<>()).put(serving, coefficient);
  }

  private double baseUtilization(TaskId task, long now) {
    return meanUtilization * (1 + swing * swing(task.job().hashCode(), now));
  }

  /** Returns a value from -1 to 1 on a sine wave whose phase depends on a hash. */
  private double swing(int hash, long now) {
    double phase = Math.floorMod(hash, 100) / 100.0;
    return Math.sin(2 * Math.PI * (now / (double) periodMillis + phase));
  }

  private double tailLatency(double utilization) {
    return baseLatencyMillis / (1 - Math.min(MAX_UTILIZATION, utilization));
  }

  private double utilization(SimulatedWorker worker, TaskId task, StepSpec spec, long now) {
    double sum = baseUtilization(task, now);
    for (ActiveTask activeTask : worker.activeTasks()) {
      if (activeTask.spec().filling()) {
        double coefficient =
            coefficients
                .getOrDefault(activeTask.spec().image(), Map.of())
                .getOrDefault(spec.image(), 0.0);
        int pair = 31 * activeTask.spec().image().hashCode() + spec.image().hashCode();
        coefficient *= 1 + coefficientSwing * swing(pair, now);
        sum += coefficient * activeTask.speed() * activeTask.spec().cpuMillis() / worker.cpuMillis;
      }
    }
    return Math.min(MAX_UTILIZATION, sum);
  }

  private double speed(SimulatedWorker worker, long now) {
    double unused = worker.cpuMillis;
    double demanded = 0;
    for (ActiveTask activeTask : worker.activeTasks()) {
      if (activeTask.spec().filling()) {
        demanded += activeTask.spec().cpuMillis() * activeTask.speed();
      } else {
        double use = Worker.serves(activeTask.spec()) ? baseUtilization(activeTask.task(), now) : 1;
        unused -= activeTask.spec().cpuMillis() * use;
      }
    }
    return demanded <= unused ? 1 : Math.max(0, unused / demanded);
  }

  /** Advances the tasks of a worker by some time. */
  void advance(SimulatedWorker worker, long millis, long now) {
    double speed = speed(worker, now);
    for (ActiveTask activeTask : worker.activeTasks()) {
      StepSpec spec = activeTask.spec();
      if (spec.filling()) {
        double workMillis = millis * activeTask.speed() * speed;
        worker.work(activeTask.task(), workMillis);
        bestEffortCoreMillis += workMillis * spec.cpuMillis() / 1_000;
      } else if (Worker.serves(spec)) {
        servingMillis += millis;
        double tailLatency = tailLatency(utilization(worker, activeTask.task(), spec, now));
        addSample(activeTask.task(), new LatencySample(now, tailLatency));
        boolean meetsTargetAlone =
            tailLatency(baseUtilization(activeTask.task(), now)) <= spec.tailTargetMillis();
        if (tailLatency <= spec.tailTargetMillis() || !meetsTargetAlone) {
          overTargetByInterferenceSince.remove(activeTask.task());
        } else {
          long since = overTargetByInterferenceSince.computeIfAbsent(activeTask.task(), key -> now);
          longestOverTargetByInterferenceMillis =
              Math.max(longestOverTargetByInterferenceMillis, now - since);
        }
        if (tailLatency <= spec.tailTargetMillis()) {
          overTargetSince.remove(activeTask.task());
        } else {
          overTargetMillis += millis;
          long since = overTargetSince.computeIfAbsent(activeTask.task(), key -> now);
          longestOverTargetMillis = Math.max(longestOverTargetMillis, now - since);
        }
      }
    }
  }

  private void addSample(TaskId task, LatencySample sample) {
    Deque<LatencySample> samples = latencies.computeIfAbsent(task, key -> new ArrayDeque<>());
    samples.add(sample);
    while (samples.peek().timeMillis() <= sample.timeMillis() - windowMillis
        && samples.size() > 1) {
      samples.remove();
    }
  }

  /** Returns the load that a worker reports for a task, which is noisy for serving tasks. */
  int load(SimulatedWorker worker, TaskId task, long now) {
    for (ActiveTask activeTask : worker.activeTasks()) {
      if (activeTask.task().equals(task)) {
        StepSpec spec = activeTask.spec();
        if (spec.filling()) {
          return (int) (spec.cpuMillis() * activeTask.speed() * speed(worker, now));
        }
        double noise = 1 + LATENCY_NOISE * random.nextGaussian();
        double tailLatency =
            windowMillis > 0 && latencies.containsKey(task)
                ? latencies.get(task).stream()
                    .mapToDouble(LatencySample::latencyMillis)
                    .average()
                    .orElseThrow()
                : tailLatency(utilization(worker, task, spec, now));
        return Worker.serves(spec) ? (int) Math.round(tailLatency * noise) : spec.cpuMillis();
      }
    }
    return 0;
  }
}
