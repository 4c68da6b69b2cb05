package org.lavenderstage.core.pool;

import java.util.Arrays;
import java.util.List;
import org.lavenderstage.core.job.StepSpec;

/** Builds steps of jobs. A step has what a test names, some memory, and nothing else. */
final class StepBuilder {
  private final int count;
  private final int cpuMillis;
  private int memoryMb = 1_000;
  private long estimateMillis;
  private List<Integer> dependsOn = List.of();
  private boolean checkpointing;
  private boolean gang;
  private String requiredLabel = "";
  private int maxPerWorker;
  private boolean longRunning;
  private String image = "";
  private int tailTargetMillis;
  private boolean filling;

  private StepBuilder(int count, int cpuMillis) {
    this.count = count;
    this.cpuMillis = cpuMillis;
  }

  /** Begins a step of short tasks. */
  static StepBuilder of(int count, int cpuMillis, long estimateMillis) {
    StepBuilder steps = new StepBuilder(count, cpuMillis);
    steps.estimateMillis = estimateMillis;
    return steps;
  }

  /** Begins a step of lasting tasks. */
  static StepBuilder ofLongRunning(int count, int cpuMillis) {
    StepBuilder steps = new StepBuilder(count, cpuMillis);
    steps.longRunning = true;
    return steps;
  }

  /** Begins a step of lasting tasks that serve users. */
  static StepBuilder ofServing(int count, int cpuMillis, String image, int tailTargetMillis) {
    StepBuilder steps = ofLongRunning(count, cpuMillis);
    steps.image = image;
    steps.tailTargetMillis = tailTargetMillis;
    return steps;
  }

  /** Begins a step of tasks that use what others leave idle. */
  static StepBuilder ofBestEffort(int count, int cpuMillis, long estimateMillis, String image) {
    StepBuilder steps = of(count, cpuMillis, estimateMillis);
    steps.image = image;
    steps.filling = true;
    return steps;
  }

  StepBuilder memoryMb(int memory) {
    memoryMb = memory;
    return this;
  }

  StepBuilder after(List<Integer> steps) {
    dependsOn = steps;
    return this;
  }

  StepBuilder checkpointing(boolean saves) {
    checkpointing = saves;
    return this;
  }

  StepBuilder gang() {
    gang = true;
    return this;
  }

  StepBuilder requiredLabel(String label) {
    requiredLabel = label;
    return this;
  }

  StepBuilder maxPerWorker(int most) {
    maxPerWorker = most;
    return this;
  }

  StepSpec build() {
    return new StepSpec(
        count,
        cpuMillis,
        memoryMb,
        0,
        estimateMillis,
        dependsOn,
        checkpointing,
        gang,
        false,
        requiredLabel,
        "",
        maxPerWorker,
        false,
        longRunning,
        image,
        tailTargetMillis,
        filling,
        0);
  }

  static StepSpec step(int count, int cpuMillis, long millis, int... dependsOn) {
    return of(count, cpuMillis, millis).after(listOf(dependsOn)).build();
  }

  static StepSpec checkpointing(int count, int cpuMillis, long millis, int... dependsOn) {
    return of(count, cpuMillis, millis).after(listOf(dependsOn)).checkpointing(true).build();
  }

  static StepSpec longRunning(int count, int cpuMillis) {
    return ofLongRunning(count, cpuMillis).build();
  }

  private static List<Integer> listOf(int... numbers) {
    return Arrays.stream(numbers).boxed().toList();
  }
}
