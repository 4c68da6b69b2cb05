package org.lavenderstage.core.ledger.cell;

import java.util.List;
import org.lavenderstage.core.placement.Resources;
import org.lavenderstage.core.record.JobAccepted;

/**
 * The state of one job as recorded in the log.
 *
 * @param accepted the submission
 * @param acceptedAtMillis append time of the submission in milliseconds since 1970
 * @param phase phase of the job
 * @param attempt number of the last attempt, 0 for none
 * @param worker worker of the last attempt, empty for none
 * @param epoch epoch under which the last attempt was placed
 * @param untilMillis task horizon of the last attempt: the time by which it ends unless it is
 *     extended, in milliseconds since 1970
 * @param checkpoint checkpoint to resume from, empty for none
 * @param cancelRequested whether the job ends once its attempt has stopped
 * @param failedOn distinct workers on which an attempt failed
 * @param endedAtMillis append time of the record that ended the job in milliseconds since 1970, 0
 *     before that
 */
public record JobState(
    JobAccepted accepted,
    long acceptedAtMillis,
    JobPhase phase,
    int attempt,
    String worker,
    long epoch,
    long untilMillis,
    String checkpoint,
    boolean cancelRequested,
    List<String> failedOn,
    long endedAtMillis) {
  /** Copies the list of failed workers. */
  public JobState {
    failedOn = List.copyOf(failedOn);
  }

  static JobState of(JobAccepted accepted, long appendTimeMillis) {
    return new JobState(
        accepted, appendTimeMillis, JobPhase.ACCEPTED, 0, "", 0, 0, "", false, List.of(), 0);
  }

  /**
   * Returns the resources that the job requests.
   *
   * @return the requested resources
   */
  public Resources demand() {
    return new Resources(accepted.cpuMillis(), accepted.memoryMb(), accepted.accelerators());
  }

  JobState placed(int nextAttempt, String onWorker, long underEpoch, long horizonMillis) {
    return new JobState(
        accepted,
        acceptedAtMillis,
        JobPhase.PLACED,
        nextAttempt,
        onWorker,
        underEpoch,
        horizonMillis,
        checkpoint,
        cancelRequested,
        failedOn,
        0);
  }

  JobState extended(long horizonMillis) {
    return placed(attempt, worker, epoch, horizonMillis);
  }

  JobState attemptEnded(JobPhase next, String resumeFrom, List<String> failures, long atMillis) {
    return new JobState(
        accepted,
        acceptedAtMillis,
        next,
        attempt,
        worker,
        epoch,
        untilMillis,
        resumeFrom,
        cancelRequested,
        failures,
        next.isFinal() ? atMillis : 0);
  }

  JobState refused(long atMillis) {
    return attemptEnded(JobPhase.FAILED, checkpoint, failedOn, atMillis);
  }

  JobState cancelled(long atMillis) {
    JobPhase next = phase == JobPhase.PLACED ? JobPhase.PLACED : JobPhase.CANCELLED;
    return new JobState(
        accepted,
        acceptedAtMillis,
        next,
        attempt,
        worker,
        epoch,
        untilMillis,
        checkpoint,
        true,
        failedOn,
        next.isFinal() ? atMillis : 0);
  }
}
