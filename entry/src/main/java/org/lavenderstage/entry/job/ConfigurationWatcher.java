package org.lavenderstage.entry.job;

import java.util.List;
import java.util.Optional;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.QueueTable;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.platform.ConfigurationDecoder;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Watches the queue configuration and the evacuation requests in the store, and activates the
 * newest version of both. While the store is unavailable, the last version stays active.
 */
final class ConfigurationWatcher implements AutoCloseable {
  /**
   * How long a read waits for a change, in milliseconds; well below the time within which a change
   * must be applied.
   */
  private static final int READ_WAIT_MILLIS = 500;

  /** Pause after a failed read in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 150;

  private final TopicReader reader;
  private final EvacuationRequests evacuations = new EvacuationRequests();
  private volatile Optional<QueueTable> active = Optional.empty();
  private boolean failing;
  private BackgroundThread thread;

  ConfigurationWatcher(KeyedLog log) {
    reader = new TopicReader(log, LogTopic.CONFIGURATION);
  }

  void start() {
    thread = new BackgroundThread("configuration", this::step);
  }

  /** Returns the active configuration, empty until the first one was read. */
  Optional<QueueTable> active() {
    return active;
  }

  /** Returns the failure domains that are to be evacuated. */
  EvacuationRequests evacuations() {
    return evacuations;
  }

  private void step() throws InterruptedException {
    long sentMillis = Clocks.monotonicMillis();
    TopicReader.Poll poll = reader.poll(READ_WAIT_MILLIS);
    evacuations.apply(poll, sentMillis);
    switch (poll) {
      case TopicReader.Poll.Snapshot snapshot -> handleRecords(snapshot.records());
      case TopicReader.Poll.Changes changes -> handleRecords(changes.records());
      case TopicReader.Poll.Failed failed -> {
        if (!failing) {
          failing = true;
          EventLog.warn(LogEvent.STORE_LOST, "cause", failed.cause());
        }
        Thread.sleep(RETRY_DELAY_MILLIS);
      }
    }
  }

  private void handleRecords(List<KeyedRecord> records) {
    if (failing) {
      failing = false;
      EventLog.info(LogEvent.STORE_REGAINED);
    }
    for (KeyedRecord record : records) {
      if (ConfigurationDecoder.isConfiguration(record)) {
        activate(record);
      }
    }
  }

  private void activate(KeyedRecord record) {
    try {
      QueueTable next = ConfigurationDecoder.decode(record);
      long activeVersion = active.map(QueueTable::version).orElse(0L);
      if (next.version() > activeVersion) {
        active = Optional.of(next);
        EventLog.info(LogEvent.QUEUES_IN_FORCE, "version", next.version(), "former", activeVersion);
      }
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.QUEUES_UNREADABLE, "cause", e.getMessage());
    }
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
