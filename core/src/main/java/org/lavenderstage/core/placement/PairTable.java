package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lavenderstage.core.interference.InterferenceModel;
import org.lavenderstage.core.interference.PairKey;
import org.lavenderstage.core.sheet.PairRow;
import org.lavenderstage.core.sheet.Sheet;

/**
 * Holds the estimated slope and the rule of each pair of service and batch class, by index, so that
 * a plan needs no hash lookup for each decision.
 */
final class PairTable {
  private static final double LOAD_MARGIN = 0.05;

  private final InterferenceModel model;
  private final Map<PairKey, PairRow.Rule> rules = new HashMap<>();
  private final Map<String, Integer> classIndex = new HashMap<>();
  private final List<String> classes = new ArrayList<>();
  private final Map<String, Integer> serviceIndex = new HashMap<>();
  private final List<String> services = new ArrayList<>();
  private final Map<String, Double> loads = new HashMap<>();
  private double[][] slopes = new double[0][];
  private double[][] conservativeSlopes = new double[0][];
  private PairRow.Rule[][] ruleTable = new PairRow.Rule[0][];

  PairTable(InterferenceModel model) {
    this.model = model;
  }

  void loadRules(Sheet sheet) {
    rules.clear();
    sheet
        .pairs()
        .forEach(row -> rules.put(new PairKey(row.service(), row.batchClass()), row.rule()));
    slopes = new double[0][];
  }

  int classIndex(String batchClass) {
    return classIndex.computeIfAbsent(batchClass, name -> add(classes, name));
  }

  int classCount() {
    return classes.size();
  }

  int serviceIndex(String service) {
    return serviceIndex.computeIfAbsent(service, name -> add(services, name));
  }

  private static int add(List<String> names, String name) {
    names.add(name);
    return names.size() - 1;
  }

  /** Updates the exponential moving average of the load of a service. */
  void observeLoad(String service, double load) {
    loads.merge(service, load, (average, observed) -> 0.7 * average + 0.3 * observed);
  }

  /** Reloads the estimates and rules; called once for each plan. */
  void refresh() {
    if (slopes.length != services.size()
        || (slopes.length > 0 && slopes[0].length != classes.size())) {
      slopes = new double[services.size()][classes.size()];
      conservativeSlopes = new double[services.size()][classes.size()];
      ruleTable = new PairRow.Rule[services.size()][classes.size()];
      Arrays.stream(ruleTable).forEach(row -> Arrays.fill(row, PairRow.Rule.ALLOW));
    }
    for (int s = 0; s < slopes.length; s++) {
      double load = Math.min(1, loads.getOrDefault(services.get(s), 0.5) + LOAD_MARGIN);
      for (int c = 0; c < slopes[s].length; c++) {
        PairKey pair = new PairKey(services.get(s), classes.get(c));
        slopes[s][c] = model.slope(pair, load);
        conservativeSlopes[s][c] = model.conservativeSlope(pair, load);
        ruleTable[s][c] = rules.getOrDefault(pair, PairRow.Rule.ALLOW);
      }
    }
  }

  double slope(int service, int batchClass) {
    return slopes[service][batchClass];
  }

  double conservativeSlope(int service, int batchClass) {
    return conservativeSlopes[service][batchClass];
  }

  PairRow.Rule rule(int service, int batchClass) {
    return ruleTable[service][batchClass];
  }

  boolean hasRule(WorkerView workerView, TaskView task, PairRow.Rule rule) {
    for (int service : workerView.services) {
      if (rule(service, task.batchClass) == rule) {
        return true;
      }
    }
    return false;
  }

  /** Adds the latency increases of a running or planned task to those of its worker. */
  void add(WorkerView workerView, TaskView task) {
    addIncreases(workerView, task, effectiveCores(task));
  }

  /** Subtracts the latency increases of a task from those of its worker. */
  void remove(WorkerView workerView, TaskView task) {
    addIncreases(workerView, task, -effectiveCores(task));
  }

  private void addIncreases(WorkerView workerView, TaskView task, double cores) {
    for (int i = 0; i < workerView.services.length; i++) {
      workerView.increases[i] += slope(workerView.services[i], task.batchClass) * cores;
      workerView.conservativeIncreases[i] +=
          conservativeSlope(workerView.services[i], task.batchClass) * cores;
    }
  }

  private static double effectiveCores(TaskView task) {
    return task.throttled ? task.cores() * ServiceProtection.THROTTLED_FRACTION : task.cores();
  }

  /** Returns the largest latency increase of a service that a task at full speed would cause. */
  double expectedIncrease(WorkerView workerView, TaskView task) {
    double largest = 0;
    for (int service : workerView.services) {
      largest = Math.max(largest, slope(service, task.batchClass) * task.cores());
    }
    return largest;
  }

  /**
   * Returns whether the conservative latency increase of every service stays within a limit if a
   * task is added.
   */
  boolean staysBelow(WorkerView workerView, TaskView task, double limit) {
    for (int i = 0; i < workerView.services.length; i++) {
      double added = conservativeSlope(workerView.services[i], task.batchClass) * task.cores();
      if (workerView.conservativeIncreases[i] + added > limit && added > 0) {
        return false;
      }
    }
    return true;
  }
}
