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

/** Slopes and rules of the pairs by index, so that a plan needs no hashing for each decision. */
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
  private double[][] cautious = new double[0][];
  private PairRow.Rule[][] ruleTable = new PairRow.Rule[0][];

  PairTable(InterferenceModel model) {
    this.model = model;
  }

  void use(Sheet sheet) {
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

  void load(String service, double load) {
    loads.merge(service, load, (known, seen) -> 0.7 * known + 0.3 * seen);
  }

  /** Reads the estimates again, once for each plan. */
  void refresh() {
    if (slopes.length != services.size()
        || (slopes.length > 0 && slopes[0].length != classes.size())) {
      slopes = new double[services.size()][classes.size()];
      cautious = new double[services.size()][classes.size()];
      ruleTable = new PairRow.Rule[services.size()][classes.size()];
      Arrays.stream(ruleTable).forEach(row -> Arrays.fill(row, PairRow.Rule.ALLOW));
    }
    for (int s = 0; s < slopes.length; s++) {
      double load = Math.min(1, loads.getOrDefault(services.get(s), 0.5) + LOAD_MARGIN);
      for (int c = 0; c < slopes[s].length; c++) {
        PairKey pair = new PairKey(services.get(s), classes.get(c));
        slopes[s][c] = model.slope(pair, load);
        cautious[s][c] = model.cautiousSlope(pair, load);
        ruleTable[s][c] = rules.getOrDefault(pair, PairRow.Rule.ALLOW);
      }
    }
  }

  double slope(int service, int batchClass) {
    return slopes[service][batchClass];
  }

  double cautiousSlope(int service, int batchClass) {
    return cautious[service][batchClass];
  }

  PairRow.Rule rule(int service, int batchClass) {
    return ruleTable[service][batchClass];
  }

  boolean has(WorkerSlot slot, TaskView task, PairRow.Rule rule) {
    for (int service : slot.services) {
      if (rule(service, task.batchClass) == rule) {
        return true;
      }
    }
    return false;
  }

  /** Adds a running or planned task to the expected rises of a worker. */
  void add(WorkerSlot slot, TaskView task) {
    change(slot, task, effectiveCores(task));
  }

  /** Takes a task out of the expected rises of a worker. */
  void remove(WorkerSlot slot, TaskView task) {
    change(slot, task, -effectiveCores(task));
  }

  private void change(WorkerSlot slot, TaskView task, double cores) {
    for (int i = 0; i < slot.services.length; i++) {
      slot.rises[i] += slope(slot.services[i], task.batchClass) * cores;
      slot.cautiousRises[i] += cautiousSlope(slot.services[i], task.batchClass) * cores;
    }
  }

  private static double effectiveCores(TaskView task) {
    return task.throttled ? task.cores() * ServiceProtection.THROTTLED_PART : task.cores();
  }

  /** The largest rise that a task brings to a service of a worker at full speed. */
  double harm(WorkerSlot slot, TaskView task) {
    double largest = 0;
    for (int service : slot.services) {
      largest = Math.max(largest, slope(service, task.batchClass) * task.cores());
    }
    return largest;
  }

  /** Tells whether a task may be added without a service rising over a limit. */
  boolean staysBelow(WorkerSlot slot, TaskView task, double limit) {
    for (int i = 0; i < slot.services.length; i++) {
      double added = cautiousSlope(slot.services[i], task.batchClass) * task.cores();
      if (slot.cautiousRises[i] + added > limit && added > 0) {
        return false;
      }
    }
    return true;
  }
}
