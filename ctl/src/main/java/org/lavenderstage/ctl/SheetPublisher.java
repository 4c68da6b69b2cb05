package org.lavenderstage.ctl;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetOutcome;
import org.lavenderstage.core.sheet.SheetRefusal;
import org.lavenderstage.core.sheet.SheetText;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/**
 * Publishes sheets to the log: first the parts, then one commit record, whose outcome is read from
 * the log. An append without a reply is retried with the same batch sequence number, so that it
 * takes effect only once.
 */
public final class SheetPublisher {
  private static final String STREAM = "config";
  private static final int PART_CHARACTERS = 200_000;
  private static final int PAGE_RECORDS = 1000;
  private static final int MAX_ATTEMPTS = 5;
  private static final long RETRY_MILLIS = 200;

  private final Log log;
  private final Consumer<String> progress;
  private final String writer = "ctl-" + UUID.randomUUID();
  private final LedgerStream<SheetLedger> stream = new LedgerStream<>(new SheetLedger());
  private long sequence;

  /**
   * Creates a publisher that reports no progress.
   *
   * @param log the platform's log
   */
  public SheetPublisher(Log log) {
    this(log, message -> {});
  }

  /**
   * Creates a publisher that reports retries caused by a slow or unavailable log.
   *
   * @param log the platform's log
   * @param progress receives a message for every append that is retried
   */
  public SheetPublisher(Log log, Consumer<String> progress) {
    this.log = log;
    this.progress = progress;
  }

  /**
   * Reads the log to its end and returns the version in force.
   *
   * @return the version in force
   * @throws PlatformUnavailableException where the log cannot be read
   */
  public SheetVersion current() throws PlatformUnavailableException {
    LogPage page;
    do {
      page = log.read(STREAM, stream.nextOffset(), PAGE_RECORDS, Duration.ZERO);
      if (page.firstKeptOffset() > stream.nextOffset()) {
        stream.restore(new SnapshotFinder(log, STREAM).find(page.firstKeptOffset()));
        continue;
      }
      page.records().forEach(this::apply);
    } while (stream.nextOffset() < page.endOffset());
    return stream.stateMachine().current();
  }

  private void apply(StoredRecord record) {
    RecordPosition position = new RecordPosition(record.offset(), record.appendTimeMillis());
    RecordBatch batch;
    try {
      batch = LedgerCodec.decode(record.bytes());
    } catch (MalformedMessageException e) {
      batch = new RecordBatch("", Long.MAX_VALUE, List.of(), 1);
    }
    stream.apply(position, batch, (appliedAt, proposal, effective) -> {});
  }

  /**
   * Publishes a sheet atomically.
   *
   * @param text the sheet as CSV
   * @param baseVersion version on which the operator based the changes
   * @param operator name of the operator
   * @return the new version, or all reasons why the sheet was rejected
   * @throws PlatformUnavailableException where the log did not reply; the sheet may have taken
   *     effect
   */
  public Either<List<String>, SheetVersion> publish(String text, long baseVersion, String operator)
      throws PlatformUnavailableException {
    SheetCheck check = SheetReader.read(text);
    if (check.sheet().isEmpty()) {
      return Either.left(check.errors().stream().map(Object::toString).toList());
    }
    String canonical = SheetText.of(check.sheet().get()).text();
    String sheet = UUID.randomUUID().toString();
    int parts = appendParts(sheet, canonical);
    String digest = StateDigest.sha256Hex(canonical);
    append(new SheetCommitted(sheet, parts, digest, baseVersion, operator));
    return readOutcome(sheet);
  }

  private Either<List<String>, SheetVersion> readOutcome(String sheet)
      throws PlatformUnavailableException {
    SheetVersion after = current();
    SheetOutcome outcome =
        stream
            .stateMachine()
            .outcome(sheet)
            .orElseThrow(
                () ->
                    new PlatformUnavailableException(
                        "the commit was taken but cannot be read back yet",
                        new IllegalStateException("commit not read")));
    return switch (outcome) {
      case SheetRefusal refusal -> Either.left(List.of(refusal.toString()));
      case SheetOutcome.Accepted accepted ->
          Either.right(
              accepted.version() == after.version()
                  ? after
                  : new SheetVersion(accepted.version(), "", "", after.committedAtMillis()));
    };
  }

  private int appendParts(String sheet, String text) throws PlatformUnavailableException {
    List<String> parts = new ArrayList<>();
    for (int from = 0; from < text.length(); from += PART_CHARACTERS) {
      parts.add(text.substring(from, Math.min(text.length(), from + PART_CHARACTERS)));
    }
    for (int i = 0; i < parts.size(); i++) {
      append(new SheetPart(sheet, i, parts.get(i)));
    }
    return parts.size();
  }

  private void append(LedgerRecord record) throws PlatformUnavailableException {
    sequence++;
    byte[] bytes = LedgerCodec.encode(RecordBatch.of(writer, sequence, List.of(record)));
    for (int attempt = 1; ; attempt++) {
      try {
        log.append(STREAM, bytes);
        return;
      } catch (PlatformUnavailableException e) {
        if (hasTakenEffect()) {
          return;
        }
        if (attempt == MAX_ATTEMPTS) {
          throw e;
        }
        progress.accept(
            "the log gave no answer to append "
                + sequence
                + ", try "
                + (attempt + 1)
                + " of "
                + MAX_ATTEMPTS);
        pause();
      }
    }
  }

  private boolean hasTakenEffect() {
    try {
      SheetVersion unused = current();
      return stream.lastSequence(writer) >= sequence;
    } catch (PlatformUnavailableException e) {
      return false;
    }
  }

  private static void pause() throws PlatformUnavailableException {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PlatformUnavailableException("interrupted", e);
    }
  }
}
