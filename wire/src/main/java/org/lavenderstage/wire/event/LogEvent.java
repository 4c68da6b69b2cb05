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
  OWNER_UNREACHABLE(6001);

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
