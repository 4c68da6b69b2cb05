package org.lavenderstage.entry.job;

import java.util.Optional;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.pool.JobScheduler;

/**
 * Decides which submissions of unknown jobs are answered at once, before anything is stored. Used
 * only by the owner's thread.
 */
final class SubmissionCheck {
  /** Duration of a pending append from which on new jobs are rejected, in milliseconds. */
  private static final long REJECT_SUBMISSIONS_AFTER_MILLIS = 700;

  /** Time after which callers should retry while the store is unavailable, in milliseconds. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  static final JobAnswer APPEND_PENDING_ANSWER =
      new JobAnswer.Rejected("no job can be stored in time", RETRY_AFTER_MILLIS);

  private final JobScheduler scheduler;
  private final JobJournal journal;

  SubmissionCheck(JobScheduler scheduler, JobJournal journal) {
    this.scheduler = scheduler;
    this.journal = journal;
  }

  /** Returns whether the store is so slow that no new job can be stored in time. */
  boolean isStoreTooSlow(long nowMillis) {
    return journal.pendingMillis(nowMillis) > REJECT_SUBMISSIONS_AFTER_MILLIS;
  }

  /**
   * Returns the answer to the submission of a job that is not known in its queue.
   *
   * @param call the submission
   * @param confirmed whether the ownership is confirmed; another owner may know the job otherwise
   * @param nowMillis monotonic time in milliseconds
   * @return the answer, empty if the job is to be stored
   */
  Optional<JobAnswer> answer(JobCall call, boolean confirmed, long nowMillis) {
    if (scheduler.find(call.job()).isPresent()) {
      // The names of its tasks would be those of the other job.
      return Optional.of(new JobAnswer.Malformed("the identifier is in use in another queue"));
    }
    if (isStoreTooSlow(nowMillis)) {
      return Optional.of(APPEND_PENDING_ANSWER);
    }
    return confirmed
        ? scheduler.refuse(call.submission().orElseThrow(), nowMillis).map(JobAnswer.class::cast)
        : Optional.empty();
  }
}
