package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;

class StoreMonitorTest {
  private static final KeyedLog.Append STORED = new KeyedLog.Append.Stored(0, 1);
  private static final KeyedLog.Append REFUSED = new KeyedLog.Append.Refused("status 503");
  private static final KeyedLog.Append TIMED_OUT = new KeyedLog.Append.Unanswered("timeout");

  private final PendingAppends log = new PendingAppends();
  private long nowMillis = 10_000;
  private final StoreMonitor monitor = new StoreMonitor(log, () -> nowMillis);

  /** A log whose appends the test answers. */
  private static final class PendingAppends implements KeyedLog {
    private CompletableFuture<Append> last = new CompletableFuture<>();

    @Override
    public CompletableFuture<Append> append(
        LogTopic topic, OptionalLong at, List<KeyedRecord> records) {
      last = new CompletableFuture<>();
      return last;
    }

    @Override
    public CompletableFuture<Read> read(LogTopic topic, long from, int waitMillis) {
      return CompletableFuture.completedFuture(new Read.Failed("status 429"));
    }

    @Override
    public CompletableFuture<Newest> newest(LogTopic topic, Optional<String> after) {
      return CompletableFuture.completedFuture(new Newest.Failed("status 429"));
    }
  }

  private CompletableFuture<KeyedLog.Append> startAppend() {
    CompletableFuture<KeyedLog.Append> unused =
        monitor.append(LogTopic.JOBS, OptionalLong.empty(), List.of());
    return log.last;
  }

  /** Guards against counting the own delay in handling an answer as an outage of the store. */
  @Test
  void callWithoutResultDoesNotShowThatStoreIsSilent() {
    CompletableFuture<KeyedLog.Append> unanswered = startAppend();
    nowMillis += 5_000;
    assertEquals(0, monitor.silentMillis());
    assertEquals(5_000, monitor.lastAnswerAgeMillis());
    assertFalse(unanswered.isDone());
  }

  @Test
  void silenceBeginsWithCallThatTimedOut() {
    nowMillis += 300;
    CompletableFuture<KeyedLog.Append> append = startAppend();
    nowMillis += 1_000;
    append.complete(TIMED_OUT);
    assertEquals(1_000, monitor.silentMillis());
  }

  @Test
  void silenceBeginsWithFirstOfSeveralRefusals() {
    startAppend().complete(REFUSED);
    nowMillis += 600;
    startAppend().complete(REFUSED);
    nowMillis += 600;
    assertEquals(1_200, monitor.silentMillis());
  }

  @Test
  void answerEndsSilence() {
    startAppend().complete(REFUSED);
    nowMillis += 600;
    startAppend().complete(STORED);
    nowMillis += 100;
    assertEquals(0, monitor.silentMillis());
    assertEquals(100, monitor.lastAnswerAgeMillis());
  }

  @Test
  void appendAtAnotherOffsetIsAnswered() {
    startAppend().complete(REFUSED);
    startAppend().complete(new KeyedLog.Append.EndMoved(7));
    nowMillis += 100;
    assertEquals(0, monitor.silentMillis());
  }

  /** Guards against counting time in which the store answered other calls. */
  @Test
  void silenceDoesNotBeginBeforeLastAnswer() {
    CompletableFuture<KeyedLog.Append> lost = startAppend();
    nowMillis += 900;
    startAppend().complete(STORED);
    nowMillis += 100;
    lost.complete(TIMED_OUT);
    assertEquals(100, monitor.silentMillis());
  }

  @Test
  void exceptionallyCompletedCallCountsAsFailed() {
    startAppend().completeExceptionally(new IllegalStateException("closed"));
    nowMillis += 50;
    assertEquals(50, monitor.silentMillis());
  }

  @Test
  void failedReadsShowThatStoreIsSilent() {
    monitor.read(LogTopic.CONFIGURATION, 0, 500).join();
    nowMillis += 50;
    assertEquals(50, monitor.silentMillis());
    monitor.newest(LogTopic.CONFIGURATION, Optional.empty()).join();
    assertEquals(50, monitor.silentMillis());
  }
}
