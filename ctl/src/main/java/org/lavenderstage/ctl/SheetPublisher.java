package org.lavenderstage.ctl;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.platform.Log;
import org.lavenderstage.platform.PlatformUnavailableException;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/** Publishes sheets: parts first, then one commit record, whose fate is read back from the log. */
public final class SheetPublisher {
  private static final String STREAM = "config";
  private static final int PART_CHARACTERS = 200_000;
  private static final int PAGE = 1000;

  private final Log log;
  private final String writer = "ctl-" + UUID.randomUUID();
  private final LedgerStream<SheetLedger> stream = new LedgerStream<>(new SheetLedger());
  private long sequence;

  /**
   * Makes a publisher.
   *
   * @param log the platform's log
   */
  public SheetPublisher(Log log) {
    this.log = log;
  }

  /**
   * Reads the version in force.
   *
   * @return the version
   * @throws PlatformUnavailableException where the log cannot be read
   */
  public SheetVersion current() throws PlatformUnavailableException {
    LogPage page;
    do {
      page = log.read(STREAM, stream.nextOffset(), PAGE, Duration.ZERO);
      page.records().forEach(this::apply);
    } while (stream.nextOffset() < page.endOffset());
    return stream.fold().current();
  }

  private void apply(StoredRecord record) {
    RecordPosition at = new RecordPosition(record.offset(), record.appendTimeMillis());
    RecordBatch batch;
    try {
      batch = LedgerCodec.decode(record.bytes());
    } catch (MalformedMessageException e) {
      batch = new RecordBatch("", Long.MAX_VALUE, List.of(), 1);
    }
    stream.apply(at, batch, (place, proposal, effective) -> {});
  }

  /**
   * Publishes a sheet whole or not at all.
   *
   * @param text the CSV
   * @param baseVersion version that the operator started from
   * @param operator who publishes
   * @return the new version, or every reason why there is none
   * @throws PlatformUnavailableException where the log gave no answer; the sheet may have taken
   *     effect
   */
  public Either<List<String>, SheetVersion> publish(String text, long baseVersion, String operator)
      throws PlatformUnavailableException {
    SheetCheck check = SheetReader.read(text);
    if (check.sheet().isEmpty()) {
      return Either.left(check.errors().stream().map(Object::toString).toList());
    }
    String sheet = UUID.randomUUID().toString();
    int parts = appendParts(sheet, text);
    String digest = StateDigest.sha256Hex(text);
    append(new SheetCommitted(sheet, parts, digest, baseVersion, operator));
    SheetVersion after = current();
    boolean mine = after.digest().equals(digest) && after.version() == baseVersion + 1;
    return mine
        ? Either.right(after)
        : Either.left(List.of("the base version " + baseVersion + " is not in force"));
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
    log.append(STREAM, LedgerCodec.encode(RecordBatch.of(writer, sequence, List.of(record))));
  }
}
