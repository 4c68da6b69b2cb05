package org.lavenderstage.core.job;

import java.util.Optional;

/**
 * One change of what is stored: the newest record of a key, or its removal.
 *
 * @param key the key
 * @param record the record, empty where the key is removed
 */
public record StoredChange(String key, Optional<StoredRecord> record) {
  /** Key of the claim of the jobs. */
  public static final String OWNER_KEY = "owner";

  private static final String JOB_PREFIX = "job/";
  private static final String PROGRESS_PREFIX = "progress/";
  private static final String WORKER_PREFIX = "worker/";

  /**
   * Stores a record under the key that belongs to it.
   *
   * @param record the record
   * @return the change
   */
  public static StoredChange put(StoredRecord record) {
    return new StoredChange(keyOf(record), Optional.of(record));
  }

  /**
   * Removes what is stored of a job.
   *
   * @param job identifier of the job
   * @return the removal of its submission
   */
  public static StoredChange deleteJob(String job) {
    return new StoredChange(JOB_PREFIX + job, Optional.empty());
  }

  /**
   * Removes the progress of a job.
   *
   * @param job identifier of the job
   * @return the removal of its progress
   */
  public static StoredChange deleteProgress(String job) {
    return new StoredChange(PROGRESS_PREFIX + job, Optional.empty());
  }

  /**
   * Removes a worker.
   *
   * @param worker identifier of the worker
   * @return the removal
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
