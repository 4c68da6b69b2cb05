package org.lavenderstage.core.job;

import java.util.Optional;

/**
 * A change to the stored records: a new record for a key, or the deletion of a key.
 *
 * @param key the key
 * @param record the record, empty if the key is deleted
 */
public record StoredChange(String key, Optional<StoredRecord> record) {
  /** Key of the record of the owner of the jobs. */
  public static final String OWNER_KEY = "owner";

  private static final String JOB_PREFIX = "job/";
  private static final String PROGRESS_PREFIX = "progress/";
  private static final String WORKER_PREFIX = "worker/";

  /**
   * Returns a change that stores a record under its key.
   *
   * @param record the record
   * @return the change
   */
  public static StoredChange put(StoredRecord record) {
    return new StoredChange(keyOf(record), Optional.of(record));
  }

  /**
   * Returns a change that deletes the submission of a job.
   *
   * @param job identifier of the job
   * @return the change
   */
  public static StoredChange deleteJob(String job) {
    return new StoredChange(JOB_PREFIX + job, Optional.empty());
  }

  /**
   * Returns a change that deletes the progress of a job.
   *
   * @param job identifier of the job
   * @return the change
   */
  public static StoredChange deleteProgress(String job) {
    return new StoredChange(PROGRESS_PREFIX + job, Optional.empty());
  }

  /**
   * Returns a change that deletes the record of a worker.
   *
   * @param worker identifier of the worker
   * @return the change
   */
  public static StoredChange deleteWorker(String worker) {
    return new StoredChange(WORKER_PREFIX + worker, Optional.empty());
  }

  private static String keyOf(StoredRecord record) {
    return switch (record) {
      case JobRecord job -> JOB_PREFIX + job.job();
      case ProgressRecord progress -> PROGRESS_PREFIX + progress.job();
      case WorkerRecord worker -> WORKER_PREFIX + worker.worker();
      case OwnerRecord owner -> OWNER_KEY;
      case MemberRecord member -> member.entry();
    };
  }
}
