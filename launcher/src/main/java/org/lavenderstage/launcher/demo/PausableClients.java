package org.lavenderstage.launcher.demo;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.VmList;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.entry.PlatformClients;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.WorkerReport;

/**
 * Wraps the platform clients of an entry so that their calls block while the entry is paused. Calls
 * block just before they leave the process: this is the worst place for a pause, as the process
 * sends an outdated message when it resumes.
 */
final class PausableClients {
  private PausableClients() {}

  static PlatformClients of(PlatformClients clients, PauseGate gate) {
    return new PlatformClients(
        new PausableLog(clients.log(), gate),
        vmList(clients.vmList(), gate),
        new PausableWorkers(clients.workers(), gate),
        executors(clients.executors(), gate),
        clients.connections());
  }

  private static VmList vmList(VmList list, PauseGate gate) {
    return () -> {
      gate.pass();
      List<VmEntry> vms = list.read();
      gate.pass();
      return vms;
    };
  }

  private static ExecutorClient executors(ExecutorClient client, PauseGate gate) {
    return (String address, ExecutorRequest request, Duration timeout) -> {
      gate.pass();
      CompletableFuture<ExecutorResult> result = client.execute(address, request, timeout);
      return result.thenApplyAsync(
          answer -> {
            gate.pass();
            return answer;
          });
    };
  }

  /** A log whose calls pass the gate before they are sent and before they return. */
  private record PausableLog(Log log, PauseGate gate) implements Log {
    @Override
    public long append(String stream, byte[] bytes) throws PlatformUnavailableException {
      gate.pass();
      long offset = log.append(stream, bytes);
      gate.pass();
      return offset;
    }

    @Override
    public LogPage read(String stream, long fromOffset, int max, Duration wait)
        throws PlatformUnavailableException {
      gate.pass();
      LogPage page = log.read(stream, fromOffset, max, wait);
      gate.pass();
      return page;
    }
  }

  /** A worker client whose calls pass the gate before they are sent and before they return. */
  private record PausableWorkers(WorkerClient workers, PauseGate gate) implements WorkerClient {
    @Override
    public TaskStatus start(String address, StartTask start) throws PlatformUnavailableException {
      gate.pass();
      TaskStatus status = workers.start(address, start);
      gate.pass();
      return status;
    }

    @Override
    public TaskStatus renew(String address, RenewTask renew) throws PlatformUnavailableException {
      gate.pass();
      TaskStatus status = workers.renew(address, renew);
      gate.pass();
      return status;
    }

    @Override
    public TaskStatus command(String address, TaskCommand command)
        throws PlatformUnavailableException {
      gate.pass();
      TaskStatus status = workers.command(address, command);
      gate.pass();
      return status;
    }

    @Override
    public WorkerReport report(String address) throws PlatformUnavailableException {
      gate.pass();
      WorkerReport report = workers.report(address);
      gate.pass();
      return report;
    }
  }
}
