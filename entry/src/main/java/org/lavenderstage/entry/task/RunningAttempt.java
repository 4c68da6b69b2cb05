package org.lavenderstage.entry.task;

import org.lavenderstage.core.ledger.cell.JobState;

/** An attempt that this entry has started or taken over, with its worker lease. */
final class RunningAttempt {
  private final JobState job;
  private final String address;
  private long renewAtNanos;
  private long leaseUntilMillis;
  private boolean started;

  RunningAttempt(JobState job, String address) {
    this.job = job;
    this.address = address;
  }

  JobState job() {
    return job;
  }

  String address() {
    return address;
  }

  boolean isStarted() {
    return started;
  }

  void started(long nextRenewalNanos, long untilMillis) {
    started = true;
    renewAtNanos = nextRenewalNanos;
    leaseUntilMillis = untilMillis;
  }

  boolean isRenewalDue(long nowNanos) {
    return nowNanos - renewAtNanos >= 0;
  }

  /** Last moment at which the worker may still run the attempt, in milliseconds since 1970. */
  long leaseUntilMillis() {
    return leaseUntilMillis;
  }
}
