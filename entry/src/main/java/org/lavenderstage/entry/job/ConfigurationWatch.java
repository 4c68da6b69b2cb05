package org.lavenderstage.entry.job;

import java.util.List;
import java.util.Optional;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.core.job.QueueTable;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.platform.ConfigurationDecoder;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Keeps the newest configuration in force; while the store is away, the last one stays. */
final class ConfigurationWatch implements AutoCloseable {
  /** How long one read waits for a change, in milliseconds; well below the time to apply one. */
  private static final int WAIT_MILLIS = 500;

  /** Pause after a failed read in milliseconds. */
  private static final long RETRY_MILLIS = 150;

  private final KeyedCache cache;
  private volatile Optional<QueueTable> inForce = Optional.empty();
  private volatile long lastAnswerMillis;
  private boolean failing;
  private Duty duty;

  ConfigurationWatch(KeyedLog log) {
    cache = new KeyedCache(log, LogTopic.CONFIGURATION);
  }

  void start() {
    lastAnswerMillis = Time.steadyMillis();
    duty = new Duty("configuration", this::step);
  }

  /** Returns the configuration in force, empty before the first one was read. */
  Optional<QueueTable> inForce() {
    return inForce;
  }

  /** Returns how long ago the store last answered, in milliseconds. */
  long storeSilentMillis() {
    return Math.max(0, Time.steadyMillis() - lastAnswerMillis);
  }

  private void step() throws InterruptedException {
    switch (cache.poll(WAIT_MILLIS)) {
      case KeyedCache.Poll.Whole whole -> answered(whole.records());
      case KeyedCache.Poll.Changes changes -> answered(changes.records());
      case KeyedCache.Poll.Failed failed -> {
        if (!failing) {
          failing = true;
          EventLog.warn(LogEvent.STORE_LOST, "cause", failed.cause());
        }
        Thread.sleep(RETRY_MILLIS);
      }
    }
  }

  private void answered(List<KeyedRecord> records) {
    lastAnswerMillis = Time.steadyMillis();
    if (failing) {
      failing = false;
      EventLog.info(LogEvent.STORE_REGAINED);
    }
    for (KeyedRecord record : records) {
      if (ConfigurationDecoder.isConfiguration(record)) {
        use(record);
      }
    }
  }

  private void use(KeyedRecord record) {
    try {
      QueueTable next = ConfigurationDecoder.decode(record);
      long before = inForce.map(QueueTable::version).orElse(0L);
      if (next.version() > before) {
        inForce = Optional.of(next);
        EventLog.info(LogEvent.QUEUES_IN_FORCE, "version", next.version(), "former", before);
      }
    } catch (MalformedMessageException e) {
      EventLog.warn(LogEvent.QUEUES_UNREADABLE, "cause", e.getMessage());
    }
  }

  @Override
  public void close() {
    if (duty != null) {
      duty.close();
    }
  }
}
