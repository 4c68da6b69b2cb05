package org.lavenderstage.entry;

import java.time.Duration;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.VmList;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.clients.http.HttpExecutorClient;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.clients.http.HttpVmList;
import org.lavenderstage.clients.http.HttpWorkerClient;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * The clients of an entry for the platform, the workers and the executors.
 *
 * @param log client of the platform's log
 * @param vmList client of the platform's VM list
 * @param workers sends commands to workers
 * @param executors sends requests to executors
 * @param connections connections to executors, closed with the entry
 */
public record PlatformClients(
    Log log,
    VmList vmList,
    WorkerClient workers,
    ExecutorClient executors,
    HttpExecutorClient connections)
    implements AutoCloseable {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /**
   * Creates clients that use HTTP.
   *
   * @param settings addresses and limits
   * @return the clients
   */
  public static PlatformClients http(EntrySettings settings) {
    HttpExecutorClient executors = new HttpExecutorClient(settings.bodyLimitBytes());
    return new PlatformClients(
        new HttpLog(settings.logAddress(), TIMEOUT),
        new HttpVmList(settings.vmListAddress(), TIMEOUT),
        new HttpWorkerClient(TIMEOUT),
        executors,
        executors);
  }

  @Override
  public void close() {
    connections.close();
  }
}
