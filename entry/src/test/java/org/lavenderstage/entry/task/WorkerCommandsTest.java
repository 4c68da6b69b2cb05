package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.ledger.cell.JobState;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.CommandVerb;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.wire.platform.RenewTask;
import org.lavenderstage.wire.platform.StartTask;
import org.lavenderstage.wire.platform.TaskCommand;
import org.lavenderstage.wire.platform.TaskPhase;
import org.lavenderstage.wire.platform.TaskStatus;
import org.lavenderstage.wire.platform.WorkerReport;

class WorkerCommandsTest {
  private static final long VALID_MILLIS = 100;
  private static final int COMMANDS = 50;

  private final AtomicLong nanos = new AtomicLong();
  private final BlockingQueue<CommandResult> results = new LinkedBlockingQueue<>();
  private final BlockingClient client = new BlockingClient();

  @Test
  void anUnresponsiveWorkerDoesNotDelayOthers() throws InterruptedException {
    try (WorkerCommands commands = commands()) {
      for (int i = 0; i < COMMANDS; i++) {
        commands.send(renewal("job-" + i, "unresponsive"), 0);
      }
      commands.send(renewal("other", "healthy"), 0);
      CommandResult first = results.poll(20, TimeUnit.SECONDS);
      assertEquals("other", first.command().job().accepted().job());
      client.released.countDown();
      for (int i = 0; i < COMMANDS; i++) {
        assertTrue(results.poll(20, TimeUnit.SECONDS).status().isPresent());
      }
    }
  }

  @Test
  void anExpiredCommandIsNotSent() throws InterruptedException {
    try (WorkerCommands commands = commands()) {
      nanos.set(TimeUnit.MILLISECONDS.toNanos(VALID_MILLIS) + 1);
      commands.send(renewal("job", "healthy"), 0);
      assertEquals(Optional.empty(), results.poll(20, TimeUnit.SECONDS).status());
      assertEquals(0, client.calls.get());
    }
  }

  private WorkerCommands commands() {
    return new WorkerCommands(client, "entry", nanos::get, results::add);
  }

  private static OwnerAction.Command renewal(String id, String address) {
    JobAccepted accepted = new JobAccepted(id, "workspace", "class", 1, 1, 0, 1, false, "");
    JobState job =
        new JobState(accepted, 0, JobPhase.PLACED, 1, address, 1, 1000, "", false, List.of(), 0);
    return new OwnerAction.Command(CommandVerb.RENEW, job, address, 1, 0, VALID_MILLIS, 1000);
  }

  /** Answers immediately, except for the unresponsive worker, which waits for the test. */
  private static final class BlockingClient implements WorkerClient {
    private final CountDownLatch released = new CountDownLatch(1);
    private final AtomicInteger calls = new AtomicInteger();

    @Override
    public TaskStatus renew(String address, RenewTask renew) throws PlatformUnavailableException {
      calls.incrementAndGet();
      try {
        if (address.equals("unresponsive")) {
          released.await();
        }
      } catch (InterruptedException e) {
        throw new PlatformUnavailableException(address, e);
      }
      return new TaskStatus(renew.job(), renew.attempt(), TaskPhase.RUNNING, "");
    }

    @Override
    public TaskStatus start(String address, StartTask start) {
      throw new UnsupportedOperationException();
    }

    @Override
    public TaskStatus command(String address, TaskCommand command) {
      throw new UnsupportedOperationException();
    }

    @Override
    public WorkerReport report(String address) {
      throw new UnsupportedOperationException();
    }
  }
}
