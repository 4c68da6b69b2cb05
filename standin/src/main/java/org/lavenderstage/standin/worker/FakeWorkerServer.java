package org.lavenderstage.standin.worker;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultInjector;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.VmEntry;

/** The fake worker as an HTTP server, driven by the wall clock. */
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
   * @param port port to listen on, 0 for any free port
   * @param vm identifier, capacity and location of the worker
   * @param ledger records which tasks run on which workers
   * @param faults faults to inject
   * @param seed seed that selects the calls into which faults are injected
   */
  public FakeWorkerServer(int port, VmEntry vm, TaskLedger ledger, FaultSwitch faults, long seed) {
    FaultInjector faultInjector = new FaultInjector(faults, seed);
    worker = new FakeWorker(vm, System::currentTimeMillis, ledger, faults);
    server =
        FakeServer.start(
            FakeServer.builder(port, faults)
                .service(
                    "/tasks/start",
                    FakeServer.json(
                        (context, body) -> {
                          StartTask start = JsonCodec.decode(body, StartTask.class);
                          return faultInjector.pass(() -> worker.start(start));
                        }))
                .service(
                    "/tasks/renew",
                    FakeServer.json(
                        (context, body) -> {
                          RenewTask renew = JsonCodec.decode(body, RenewTask.class);
                          return faultInjector.pass(() -> worker.renew(renew));
                        }))
                .service(
                    "/tasks/command",
                    FakeServer.json(
                        (context, body) -> {
                          TaskCommand command = JsonCodec.decode(body, TaskCommand.class);
                          return faultInjector.pass(() -> worker.command(command));
                        }))
                .service(
                    "/report",
                    FakeServer.json((context, body) -> faultInjector.pass(worker::report))));
    ScheduledFuture<?> unused =
        ticker.scheduleAtFixedRate(
            worker::advance, ADVANCE_MILLIS, ADVANCE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns the address at which the server listens.
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
