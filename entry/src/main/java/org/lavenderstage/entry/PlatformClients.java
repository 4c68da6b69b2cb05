package org.lavenderstage.entry;

import java.time.Duration;
import org.lavenderstage.platform.ExecutorClient;
import org.lavenderstage.platform.Log;
import org.lavenderstage.platform.VmList;
import org.lavenderstage.platform.WorkerClient;
import org.lavenderstage.platform.http.HttpExecutorClient;
import org.lavenderstage.platform.http.HttpLog;
import org.lavenderstage.platform.http.HttpVmList;
import org.lavenderstage.platform.http.HttpWorkerClient;
import org.lavenderstage.wire.settings.EntrySettings;

/**
 * The clients through which an entry reaches everything outside of it.
 *
 * @param log the platform's log
 * @param vmList the platform's list of VMs
 * @param workers commands to workers
 * @param executors requests to executors
 */
public record PlatformClients(
    Log log, VmList vmList, WorkerClient workers, ExecutorClient executors) {
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /**
   * Makes the clients over HTTP.
   *
   * @param settings addresses and limits
   * @return the clients
   */
  public static PlatformClients http(EntrySettings settings) {
    return new PlatformClients(
        new HttpLog(settings.logAddress(), TIMEOUT),
        new HttpVmList(settings.vmListAddress(), TIMEOUT),
        new HttpWorkerClient(TIMEOUT),
        new HttpExecutorClient(settings.bodyLimitBytes()));
  }
}
