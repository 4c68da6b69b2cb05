package org.lavenderstage.clients;

/** Keyed topics of the platform's store that entries use. */
public enum LogTopic {
  /** Jobs, their progress and the claim of their owner; written only by the owner. */
  JOBS,
  /** One announcement for each entry. */
  MEMBERS,
  /** The operator's configuration; entries only read it. */
  CONFIGURATION,
  /** One listing for each worker, written by the workers; entries only read it. */
  WORKERS
}
