package org.lavenderstage.clients;

import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.WorkerReport;

/** Sends commands to workers. A command without a response may still have taken effect. */
public interface WorkerClient {
  /**
   * Starts an attempt. Repeating the command has no further effect.
   *
   * @param address host and port of the worker
   * @param start the command
   * @return state of the attempt on the worker after the command
   * @throws PlatformUnavailableException if no valid response arrived
   */
  TaskStatus start(String address, StartTask start) throws PlatformUnavailableException;

  /**
   * Renews the worker lease of an attempt.
   *
   * @param address host and port of the worker
   * @param renew the command
   * @return state of the attempt on the worker after the command
   * @throws PlatformUnavailableException if no valid response arrived
   */
  TaskStatus renew(String address, RenewTask renew) throws PlatformUnavailableException;

  /**
   * Stops, checkpoints or throttles an attempt.
   *
   * @param address host and port of the worker
   * @param command the command
   * @return state of the attempt on the worker after the command
   * @throws PlatformUnavailableException if no valid response arrived
   */
  TaskStatus command(String address, TaskCommand command) throws PlatformUnavailableException;

  /**
   * Returns the worker's last report, which may be out of date.
   *
   * @param address host and port of the worker
   * @return the report
   * @throws PlatformUnavailableException if no valid response arrived
   */
  WorkerReport report(String address) throws PlatformUnavailableException;
}
