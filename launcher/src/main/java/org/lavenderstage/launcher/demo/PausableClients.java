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
 * Clients whose calls are held up while their entry is frozen, just before they leave the process,
 * which is where a paused process does harm when it wakes.
 */
final class FreezableClients {
  private FreezableClients() {}

  static PlatformClients of(PlatformClients clients, FreezeGate gate) {
    return new PlatformClients(
        new FreezableLog(clients.log(), gate),
        vmList(clients.vmList(), gate),
        new FreezableWorkers(clients.workers(), gate),
        executors(clients.executors(), gate),
        clients.connections());
  }

  private static VmList vmList(VmList list, FreezeGate gate) {
    return () -> {
      gate.pass();
      List<VmEntry> vms = list.read();
      gate.pass();
      return vms;
    };
  }

  private static ExecutorClient executors(ExecutorClient client, FreezeGate gate) {
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

  /** A log whose calls pass the gate before and after. */
  private record FreezableLog(Log log, FreezeGate gate) implements Log {
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

  /** Workers whose commands pass the gate before and after. */
  private record FreezableWorkers(WorkerClient workers, FreezeGate gate) implements WorkerClient {
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
