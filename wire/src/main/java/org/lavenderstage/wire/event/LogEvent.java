package org.lavenderstage.wire.event;

import java.util.Locale;

/** The numbered log events; docs/EVENTS.md has a row for each. */
public enum LogEvent {
  /** An entry serves its ports. */
  ENTRY_STARTED(1001),
  /** An entry begins its graceful shutdown. */
  ENTRY_DRAINING(1002),
  /** An entry has stopped. */
  ENTRY_STOPPED(1003),
  /** An entry's replicas have reached the end of the log. */
  ENTRY_READY(1004),
  /** A setting is invalid. */
  SETTING_REFUSED(1005),
  /** A stopping entry answered requests with what was known, since its time was over. */
  PENDING_GIVEN_UP(1006),
  /** An operator asked for a drain. */
  DRAIN_REQUESTED(1100),
  /** A read of the log failed. */
  LOG_READ_FAILED(2001),
  /** An append to the log failed or got no response. */
  LOG_APPEND_FAILED(2002),
  /** A record of the log cannot be decoded. */
  LOG_RECORD_MALFORMED(2003),
  /** Records expired before they were read; the entry searches for a snapshot. */
  LOG_GAP(2004),
  /** A stream's state was restored from a snapshot or a peer. */
  SNAPSHOT_RESTORED(2005),
  /** A snapshot of a stream's state was written. */
  SNAPSHOT_WRITTEN(2006),
  /** A cell has a new owner. */
  CELL_CLAIMED(3001),
  /** A cell's owner released it. */
  CELL_RELEASED(3002),
  /** A task was started on a worker. */
  TASK_STARTED(3003),
  /** An attempt of a task has ended. */
  TASK_ENDED(3004),
  /** A worker did not accept a command. */
  WORKER_FAILED(3005),
  /** A command to a worker expired before it was sent. */
  COMMAND_EXPIRED(3100),
  /** A job ended because no worker can run it. */
  JOB_REFUSED(3101),
  /** A sheet is in force. */
  SHEET_IN_FORCE(4001),
  /** A committed sheet cannot be parsed. */
  SHEET_UNREADABLE(4002),
  /** A version of the sheet was fetched from a peer. */
  SHEET_FETCHED(4003),
  /** A newer version of the sheet could not be fetched from a peer. */
  SHEET_FETCH_FAILED(4004),
  /** The entry cannot confirm that its version of the sheet is current. */
  SHEET_STALE(4005),
  /** The entry has confirmed again that its version of the sheet is current. */
  SHEET_CURRENT(4006),
  /** A peer link failed. */
  PEER_FAILED(5001),
  /** A background thread caught a failure and continues. */
  DUTY_FAILED(5002),
  /** The VM list cannot be read. */
  VM_LIST_FAILED(5003),
  /** A failed peer link works again. */
  PEER_RECOVERED(5100),
  /** The dispatch thread was paused for too long and checks its slots again. */
  DISPATCH_FROZEN(5101),
  /** The owner of a claim did not respond over the peer link. */
  OWNER_UNREACHABLE(6001),
  /** The platform's store does not respond to the configuration watch. */
  STORE_LOST(7001),
  /** The platform's store responds again. */
  STORE_REGAINED(7002),
  /** A version of the queues is in force. */
  QUEUES_IN_FORCE(7003),
  /** A version of the queues cannot be decoded; the previous one stays in force. */
  QUEUES_UNREADABLE(7004),
  /** The settings file was read again. */
  SETTINGS_RELOADED(7005),
  /** A worker's listing is invalid and is ignored. */
  LISTING_UNREADABLE(7006),
  /** This entry has claimed the jobs. */
  OWNER_CLAIMED(7101),
  /** A claim of the jobs failed. */
  OWNER_CLAIM_FAILED(7102),
  /** Another entry has claimed the jobs that this one owned. */
  OWNER_DEPOSED(7103),
  /** This entry releases the jobs. */
  OWNER_RELEASED(7104),
  /** This entry learned of another owner of the jobs. */
  OWNER_CHANGED(7105),
  /** The owner of the jobs does not respond to this entry. */
  OWNER_SILENT(7106),
  /** The owner sends no orders until its claim is confirmed. */
  OWNER_PAUSED(7107),
  /** The owner's claim is confirmed again. */
  OWNER_RESUMED(7108),
  /** An append to the journal failed or got no response and is repeated. */
  JOURNAL_STALLED(7109),
  /** The stalled append is stored. */
  JOURNAL_RESUMED(7110),
  /** The journal's topic contains, or may contain, records of another entry. */
  JOURNAL_OVERTAKEN(7111),
  /** Once a second: how the owner's thread spent its time. */
  OWNER_LOAD(7112),
  /** This entry has run an owner's code with simulated workers. */
  OWNER_WARMED_UP(7113),
  /** The thread of the owner in this entry stands still; the entry gives up the jobs. */
  OWNER_STALLED(7114),
  /** A caller's request was answered. */
  CALL_ANSWERED(7201),
  /** Clients were refused or evicted, since clients hold all the memory that they may. */
  CLIENTS_REFUSED(7202),
  /** A job was submitted; it is not stored yet. */
  JOB_SUBMITTED(7301),
  /** A job has ended. */
  JOB_ENDED(7302),
  /** An order to start a run was issued. */
  RUN_ORDERED(7303),
  /** A run started by another owner was found on a worker. */
  RUN_ADOPTED(7304),
  /** A worker rejected an order. */
  ORDER_REJECTED(7305),
  /** An order got no response and is repeated. */
  ORDER_UNANSWERED(7306),
  /** A run has ended. */
  RUN_ENDED(7307),
  /** A run was lost: no report shows how it ended. */
  RUN_LOST(7308),
  /** A run is being stopped. */
  RUN_STOPPED(7309),
  /** An untracked run was found on a worker and is being stopped. */
  RUN_STRAY(7310),
  /** The speed limit of a best-effort run was changed. */
  RUN_PACED(7311),
  /** A long-running task that has run before waits for a worker. */
  TASK_DEFERRED(7312),
  /** A job has eligible tasks, but none has been placed for a while. */
  JOB_WAITS(7313),
  /** Runs are being stopped for a task whose caller gains more than theirs lose. */
  RUNS_PREEMPTED(7314),
  /** A job of an underserved size ranks above the other jobs of its priority. */
  TURN_GIVEN(7315),
  /** The next run of a task is delayed, since several in a row failed soon after their start. */
  TASK_DELAYED(7316),
  /** A step has failed on several workers, and its failures are not held against workers. */
  STEP_FAULTY(7317),
  /** A job was refused, since the work before it fills the capacity beyond its deadline. */
  JOB_NOT_ADMITTED(7318),
  /** A worker was added to the list or changed its listing. */
  WORKER_LISTED(7401),
  /** A worker was removed from the list. */
  WORKER_UNLISTED(7402),
  /** A worker reported to this owner for the first time. */
  WORKER_GREETED(7403),
  /** A worker restarted in place, as a new incarnation. */
  WORKER_REBORN(7404),
  /** A worker is unresponsive. */
  WORKER_SILENT(7405),
  /** A worker responds again. */
  WORKER_BACK(7406),
  /** A worker was removed, and its runs are lost. */
  WORKER_GONE(7407),
  /** A worker gets no new runs for a while because its latest runs failed. */
  WORKER_QUARANTINED(7408),
  /** No unknown run of a previous owner can be active any longer. */
  INHERITANCE_SETTLED(7409),
  /** The owner renews the leases of an unresponsive worker no more, for a later owner to know. */
  RENEWAL_STOPPED(7410),
  /** The fencing token of a worker was raised, since the worker may have restarted. */
  TOKEN_RAISED(7411),
  /** The owner starts nothing more in a failure domain, since the operator wants it evacuated. */
  DOMAIN_EVACUATED(7501),
  /** The evacuation of a failure domain was withdrawn; its workers return to use. */
  DOMAIN_RETURNED(7502),
  /** This entry has read other requests of the operator to evacuate failure domains. */
  EVACUATIONS_READ(7503),
  /** A long-running task is stopped in an evacuated failure domain, to run on another worker. */
  TASK_MOVED(7504);

  private final String label;
  private final String displayName;

  LogEvent(int number) {
    label = "LE-" + number;
    displayName = name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the label of the event in logs and documentation.
   *
   * @return the label, such as {@code LE-1001}
   */
  public String label() {
    return label;
  }

  /**
   * Returns the name of the event in logs and documentation.
   *
   * @return the name, such as {@code entry-started}
   */
  public String displayName() {
    return displayName;
  }
}
