package org.lavenderstage.launcher.demo;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.lavenderstage.standin.fault.FaultSwitch;

/** A fault that the demo injects in the middle third of its run. */
enum DemoFault {
  /** One entry is killed and replaced. */
  KILL_ENTRY,
  /** The log is unavailable. */
  LOG_OUTAGE,
  /** A third of the appends take effect, but their replies are lost. */
  LOST_APPEND_ANSWERS,
  /** One worker fails every task that it runs. */
  WORKER_FAILS_ALL,
  /** The owner of a cell is paused for longer than its lease. */
  FROZEN_OWNER;

  private static final int LOST_PERCENT = 33;

  static Optional<DemoFault> of(String name) {
    return Arrays.stream(values())
        .filter(fault -> fault.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name))
        .findAny();
  }

  void begin(DemoDeployment deployment) {
    switch (this) {
      case KILL_ENTRY -> deployment.killEntry();
      case LOG_OUTAGE -> deployment.logFaults().set(FaultSwitch.Kind.DOWN, 1);
      case LOST_APPEND_ANSWERS ->
          deployment.logFaults().set(FaultSwitch.Kind.LOSE_ANSWERS, LOST_PERCENT);
      case WORKER_FAILS_ALL -> deployment.workerFaults().get(0).set(FaultSwitch.Kind.FAIL_ALL, 1);
      case FROZEN_OWNER -> deployment.pauseOwner();
    }
  }

  void end(DemoDeployment deployment) {
    deployment.resumeAll();
    deployment.logFaults().set(FaultSwitch.Kind.DOWN, 0);
    deployment.logFaults().set(FaultSwitch.Kind.LOSE_ANSWERS, 0);
    deployment.workerFaults().forEach(faults -> faults.set(FaultSwitch.Kind.FAIL_ALL, 0));
  }
}
