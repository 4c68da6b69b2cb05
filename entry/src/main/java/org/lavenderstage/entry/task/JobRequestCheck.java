package org.lavenderstage.entry.task;

import java.util.Optional;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.wire.http.JobRequest;

/** Validates the body of a job submission. Numbers missing from the body are decoded as 0. */
final class JobRequestCheck {
  private static final int MIN_DEMAND = 1;

  private JobRequestCheck() {}

  /** Returns the error code of an invalid submission, or empty if the submission is valid. */
  static Optional<ResultCode> validate(Sheet sheet, JobRequest job) {
    if (job.batchClass() == null || job.payload() == null) {
      return Optional.of(ResultCode.BAD_REQUEST);
    }
    if (sheet.batchClass(job.batchClass()).isEmpty()) {
      return Optional.of(ResultCode.UNKNOWN_BATCH_CLASS);
    }
    boolean demandValid =
        job.cpuMillis() >= MIN_DEMAND && job.memoryMb() >= MIN_DEMAND && job.accelerators() >= 0;
    boolean durationValid = job.watcher() ? job.expectedMillis() >= 0 : job.expectedMillis() > 0;
    return demandValid && durationValid ? Optional.empty() : Optional.of(ResultCode.BAD_JOB);
  }
}
