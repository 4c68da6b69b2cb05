package org.lavenderstage.standin.worker;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultGate;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.VmEntry;

/** The fake worker as an HTTP server, under the wall clock. */
public final class FakeWorkerServer implements AutoCloseable {
  private static final long ADVANCE_MILLIS = 20;

  private final FakeWorker worker;
  private final FakeServer server;
  private final ScheduledExecutorService ticker =
      Executors.newSingleThreadScheduledExecutor(
          task -> Thread.ofPlatform().daemon().name("fake-worker").unstarted(task));

  /**
   * Starts the server.
   *
   * @param port the port, 0 for a free one
   * @param vm identifier, size and place of the worker
   * @param ledger records where tasks run
   * @param faults the faults
   * @param seed seed of the faults
   */
  public FakeWorkerServer(int port, VmEntry vm, TaskLedger ledger, FaultSwitch faults, long seed) {
    FaultGate gate = new FaultGate(faults, seed);
    worker = new FakeWorker(vm, System::currentTimeMillis, ledger, faults);
    server =
        FakeServer.start(
            FakeServer.builder(port, faults)
                .service(
                    "/tasks/start",
                    FakeServer.json(
                        (context, body) -> {
                          StartTask start = JsonCodec.decode(body, StartTask.class);
                          return gate.pass(() -> worker.start(start));
                        }))
                .service(
                    "/tasks/renew",
                    FakeServer.json(
                        (context, body) -> {
                          RenewTask renew = JsonCodec.decode(body, RenewTask.class);
                          return gate.pass(() -> worker.renew(renew));
                        }))
                .service(
                    "/tasks/command",
                    FakeServer.json(
                        (context, body) -> {
                          TaskCommand command = JsonCodec.decode(body, TaskCommand.class);
                          return gate.pass(() -> worker.command(command));
                        }))
                .service("/report", FakeServer.json((context, body) -> gate.pass(worker::report))));
    ScheduledFuture<?> unused =
        ticker.scheduleAtFixedRate(
            worker::advance, ADVANCE_MILLIS, ADVANCE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns where the server listens.
   *
   * @return host and port
   */
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    ticker.shutdownNow();
    server.close();
  }
}
