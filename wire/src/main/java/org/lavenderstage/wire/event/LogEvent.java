package org.lavenderstage.wire.event;

/** The numbered log events; docs/EVENTS.md has a row for each. */
public enum LogEvent {
  /** An entry serves its ports. */
  ENTRY_STARTED(1001),
  /** An entry begins its graceful shutdown. */
  ENTRY_DRAINING(1002),
  /** An entry has stopped. */
  ENTRY_STOPPED(1003),
  /** An entry's folds have reached the end of the log. */
  ENTRY_READY(1004),
  /** A setting cannot be taken. */
  SETTING_REFUSED(1005),
  /** An operator asked for a drain. */
  DRAIN_REQUESTED(1100),
  /** A read of the log failed. */
  LOG_READ_FAILED(2001),
  /** An append to the log failed or lost its answer. */
  LOG_APPEND_FAILED(2002),
  /** A record of the log cannot be read. */
  LOG_RECORD_MALFORMED(2003),
  /** Records expired before they were read; a snapshot is looked for. */
  LOG_GAP(2004),
  /** A stream's state was taken from a snapshot or a peer. */
  SNAPSHOT_RESTORED(2005),
  /** A stream's state was written again. */
  SNAPSHOT_WRITTEN(2006),
  /** A cell has a new owner. */
  CELL_CLAIMED(3001),
  /** A cell's owner gave it up. */
  CELL_RELEASED(3002),
  /** A task was started on a worker. */
  TASK_STARTED(3003),
  /** A task's attempt has ended. */
  TASK_ENDED(3004),
  /** A worker did not take a command. */
  WORKER_FAILED(3005),
  /** A command to a worker was not sent, since its time had passed. */
  COMMAND_EXPIRED(3100),
  /** A job ended, since no worker can run it. */
  JOB_REFUSED(3101),
  /** A sheet is in force. */
  SHEET_IN_FORCE(4001),
  /** A committed sheet cannot be read. */
  SHEET_UNREADABLE(4002),
  /** A version was fetched from a peer. */
  SHEET_FETCHED(4003),
  /** A peer gave no newer version. */
  SHEET_FETCH_FAILED(4004),
  /** The entry cannot show that its version is the newest one. */
  SHEET_STALE(4005),
  /** The entry can show again that its version is the newest one. */
  SHEET_CURRENT(4006),
  /** A peer link failed. */
  PEER_FAILED(5001),
  /** A duty failed and goes on. */
  DUTY_FAILED(5002),
  /** The VM list cannot be read. */
  VM_LIST_FAILED(5003),
  /** A peer link that failed works again. */
  PEER_RECOVERED(5100),
  /** The dispatching thread stood still and checks its slots anew. */
  DISPATCH_FROZEN(5101),
  /** The owner of a claim gave no answer over the peer link. */
  OWNER_UNREACHABLE(6001),
  /** The platform's store does not answer the configuration watch. */
  STORE_LOST(7001),
  /** The platform's store answers again. */
  STORE_REGAINED(7002),
  /** A version of the queues is in force. */
  QUEUES_IN_FORCE(7003),
  /** A version of the queues cannot be read; the former one stays. */
  QUEUES_UNREADABLE(7004),
  /** The settings file was read again. */
  SETTINGS_RELOADED(7005),
  /** A worker's listing cannot be read and names no worker. */
  LISTING_UNREADABLE(7006),
  /** This entry has claimed the jobs. */
  OWNER_CLAIMED(7101),
  /** A claim of the jobs did not succeed. */
  OWNER_CLAIM_FAILED(7102),
  /** Another entry has claimed the jobs that this one owned. */
  OWNER_DEPOSED(7103),
  /** This entry gives up the jobs. */
  OWNER_RELEASED(7104),
  /** This entry learned of another owner of the jobs. */
  OWNER_CHANGED(7105),
  /** The owner of the jobs does not answer this entry. */
  OWNER_SILENT(7106),
  /** The owner sends no orders until its claim is confirmed. */
  OWNER_PAUSED(7107),
  /** The owner's claim is confirmed again. */
  OWNER_RESUMED(7108),
  /** An append to the journal failed or lost its answer and is repeated. */
  JOURNAL_STALLED(7109),
  /** The append that stalled is stored. */
  JOURNAL_RESUMED(7110),
  /** The journal's topic holds records of another entry, or may have. */
  JOURNAL_OVERTAKEN(7111),
  /** A caller's request was answered. */
  CALL_ANSWERED(7201),
  /** A job was taken in; it is not stored yet. */
  JOB_SUBMITTED(7301),
  /** A job has ended. */
  JOB_ENDED(7302),
  /** A run was ordered. */
  RUN_ORDERED(7303),
  /** A run that another owner ordered was found on a worker. */
  RUN_ADOPTED(7304),
  /** A worker did nothing about an order. */
  ORDER_REJECTED(7305),
  /** An order got no answer and is repeated. */
  ORDER_UNANSWERED(7306),
  /** A run has ended. */
  RUN_ENDED(7307),
  /** A run is gone without a listed end. */
  RUN_LOST(7308),
  /** A run is to be stopped. */
  RUN_STOPPED(7309),
  /** A run that nobody wants was found on a worker and is stopped. */
  RUN_STRAY(7310),
  /** A filling run is let work at another share. */
  RUN_PACED(7311),
  /** A lasting task that has run before waits for a place. */
  TASK_DEFERRED(7312),
  /** A job has tasks whose turn has come, and none got a place for a while. */
  JOB_WAITS(7313),
  /** A worker came into the list or changed its listing. */
  WORKER_LISTED(7401),
  /** A worker left the list. */
  WORKER_UNLISTED(7402),
  /** A worker reported to this owner for the first time. */
  WORKER_GREETED(7403),
  /** A worker began a new life in place. */
  WORKER_REBORN(7404),
  /** A worker does not answer. */
  WORKER_SILENT(7405),
  /** A worker answers again. */
  WORKER_BACK(7406),
  /** A worker is gone, and what ran there with it. */
  WORKER_GONE(7407),
  /** A worker gets no new runs for a while, since its latest runs failed. */
  WORKER_QUARANTINED(7408),
  /** No run of a former owner can be under way unseen any more. */
  INHERITANCE_SETTLED(7409);

  private final int number;

  LogEvent(int number) {
    this.number = number;
  }

  /**
   * Returns the event's number as it stands in logs and docs.
   *
   * @return the label, such as {@code LE-1001}
   */
  public String label() {
    return "LE-" + number;
  }
}
