package org.lavenderstage.clients.http;

import java.time.Duration;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.WorkerReport;

/** Sends commands to workers over HTTP. */
public final class HttpWorkerClient implements WorkerClient {
  private final HttpCalls calls;

  /**
   * Creates a client.
   *
   * @param timeout maximum time to wait for a response
   */
  public HttpWorkerClient(Duration timeout) {
    this.calls = new HttpCalls(timeout);
  }

  @Override
  public TaskStatus start(String address, StartTask start) throws PlatformUnavailableException {
    return calls.post(address, "/tasks/start", start, TaskStatus.class);
  }

  @Override
  public TaskStatus renew(String address, RenewTask renew) throws PlatformUnavailableException {
    return calls.post(address, "/tasks/renew", renew, TaskStatus.class);
  }

  @Override
  public TaskStatus command(String address, TaskCommand command)
      throws PlatformUnavailableException {
    return calls.post(address, "/tasks/command", command, TaskStatus.class);
  }

  @Override
  public WorkerReport report(String address) throws PlatformUnavailableException {
    return calls.get(address, "/report", Duration.ZERO, WorkerReport.class);
  }
}
