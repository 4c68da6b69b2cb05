package org.lavenderstage.entry.task;

import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lavenderstage.clients.WorkerClient;
import org.lavenderstage.core.task.CommandResult;
import org.lavenderstage.core.task.OwnerAction;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Sends commands to the workers. Each worker has its own queue and a limited number of concurrent
 * calls, so that a slow or dead worker does not delay commands to others. A command that has
 * expired according to the monotonic clock is not sent.
 */
final class WorkerCommands implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 1024;
  private static final int CALLS_PER_WORKER = 4;

  /** A queued command and the time of its decision on the monotonic clock. */
  private record QueuedCommand(OwnerAction.Command command, long decidedNanos) {}

  private final WorkerCalls calls;
  private final LongSupplier nanoClock;
  private final Consumer<CommandResult> results;
  private final Map<String, WorkerQueue> queues = new ConcurrentHashMap<>();
  private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

  /**
   * Creates a sender without queued commands.
   *
   * @param client the client for the workers
   * @param entry the identifier of this incarnation of the entry
   * @param nanoClock the monotonic clock, in nanoseconds
   * @param results receives the result of each command, on any thread
   */
  WorkerCommands(
      WorkerClient client, String entry, LongSupplier nanoClock, Consumer<CommandResult> results) {
    this.calls = new WorkerCalls(client, entry);
    this.nanoClock = nanoClock;
    this.results = results;
  }

  /** Queues a command for its worker. If the queue is full, reports it as unanswered at once. */
  void send(OwnerAction.Command command, long decidedNanos) {
    WorkerQueue queue = queues.computeIfAbsent(command.address(), address -> new WorkerQueue());
    if (!queue.commands.offer(new QueuedCommand(command, decidedNanos))) {
      results.accept(CommandResult.unanswered(command));
      return;
    }
    if (queue.threads.get() < CALLS_PER_WORKER) {
      queue.threads.incrementAndGet();
      threads.execute(() -> drainQueue(queue));
    }
  }

  private void drainQueue(WorkerQueue queue) {
    QueuedCommand next = queue.commands.poll();
    while (next != null) {
      results.accept(call(next));
      next = queue.commands.poll();
    }
    queue.threads.decrementAndGet();
    // a command queued between the last poll and the decrement may not have started a thread
    if (!queue.commands.isEmpty() && queue.threads.get() == 0) {
      queue.threads.incrementAndGet();
      drainQueue(queue);
    }
  }

  private CommandResult call(QueuedCommand queued) {
    OwnerAction.Command command = queued.command();
    long validNanos = TimeUnit.MILLISECONDS.toNanos(command.validMillis());
    if (nanoClock.getAsLong() - queued.decidedNanos() > validNanos) {
      EventLog.info(
          LogEvent.COMMAND_EXPIRED, "job", command.job().accepted().job(), "verb", command.verb());
      return CommandResult.unanswered(command);
    }
    return calls.call(command);
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  /** The queued commands of one worker. */
  private static final class WorkerQueue {
    private final BlockingQueue<QueuedCommand> commands = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicInteger threads = new AtomicInteger();
  }
}
