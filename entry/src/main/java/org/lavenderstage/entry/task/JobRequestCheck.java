package org.lavenderstage.entry.task;

import java.util.Optional;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.wire.http.JobRequest;

/** Checks the body of a job submission. A number that the body leaves out reads as zero. */
final class JobRequestCheck {
  private static final int MIN_DEMAND = 1;

  private JobRequestCheck() {}

  /** Finds what is wrong with a submission, nothing where it can be proposed. */
  static Optional<ResultCode> fault(Sheet sheet, JobRequest job) {
    if (job.batchClass() == null || job.payload() == null) {
      return Optional.of(ResultCode.BAD_REQUEST);
    }
    if (sheet.batchClass(job.batchClass()).isEmpty()) {
      return Optional.of(ResultCode.UNKNOWN_BATCH_CLASS);
    }
    boolean sized =
        job.cpuMillis() >= MIN_DEMAND && job.memoryMb() >= MIN_DEMAND && job.accelerators() >= 0;
    boolean timed = job.watcher() ? job.expectedMillis() >= 0 : job.expectedMillis() > 0;
    return sized && timed ? Optional.empty() : Optional.of(ResultCode.BAD_JOB);
  }
}
