package org.lavenderstage.core.pool;

import java.util.Arrays;
import java.util.List;
import org.lavenderstage.core.job.StepSpec;

/** Builds steps of jobs. A step has what a test names, some memory, and nothing else. */
final class Steps {
  private final int count;
  private final int cpuMillis;
  private int memoryMb = 1_000;
  private long estimateMillis;
  private List<Integer> dependsOn = List.of();
  private boolean checkpointing;
  private boolean gang;
  private String requiredLabel = "";
  private int maxPerWorker;
  private boolean lasting;
  private String image = "";
  private int tailTargetMillis;
  private boolean filling;

  private Steps(int count, int cpuMillis) {
    this.count = count;
    this.cpuMillis = cpuMillis;
  }

  /** Begins a step of short tasks. */
  static Steps of(int count, int cpuMillis, long estimateMillis) {
    Steps steps = new Steps(count, cpuMillis);
    steps.estimateMillis = estimateMillis;
    return steps;
  }

  /** Begins a step of lasting tasks. */
  static Steps ofLasting(int count, int cpuMillis) {
    Steps steps = new Steps(count, cpuMillis);
    steps.lasting = true;
    return steps;
  }

  /** Begins a step of lasting tasks that serve users. */
  static Steps ofServing(int count, int cpuMillis, String image, int tailTargetMillis) {
    Steps steps = ofLasting(count, cpuMillis);
    steps.image = image;
    steps.tailTargetMillis = tailTargetMillis;
    return steps;
  }

  /** Begins a step of tasks that use what others leave idle. */
  static Steps ofFilling(int count, int cpuMillis, long estimateMillis, String image) {
    Steps steps = of(count, cpuMillis, estimateMillis);
    steps.image = image;
    steps.filling = true;
    return steps;
  }

  Steps memoryMb(int memory) {
    memoryMb = memory;
    return this;
  }

  Steps after(List<Integer> steps) {
    dependsOn = steps;
    return this;
  }

  Steps checkpointing(boolean saves) {
    checkpointing = saves;
    return this;
  }

  Steps gang() {
    gang = true;
    return this;
  }

  Steps requiredLabel(String label) {
    requiredLabel = label;
    return this;
  }

  Steps maxPerWorker(int most) {
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
        lasting,
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

  static StepSpec lasting(int count, int cpuMillis) {
    return ofLasting(count, cpuMillis).build();
  }

  private static List<Integer> listOf(int... numbers) {
    return Arrays.stream(numbers).boxed().toList();
  }
}
