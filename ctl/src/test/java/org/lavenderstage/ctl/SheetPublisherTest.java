package org.lavenderstage.ctl;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SnapshotCommitted;
import org.lavenderstage.core.record.SnapshotPart;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.platform.StoredRecord;

class SheetPublisherTest {
  private static final String BASE = "kind,name,rank,share\nclass,a,0,1\nclass,b,0,1\n";

  private final LossyLog log = new LossyLog();

  @Test
  void repliesLostAfterAnAppendCauseNoSecondRecord() throws PlatformUnavailableException {
    log.loseReplies(2, 0, false);
    assertEquals(1, publish(BASE, 0).version());
    assertEquals(2, log.size());
  }

  @Test
  void appendsRetriedWhileReadsFailTakeEffectOnce() throws PlatformUnavailableException {
    log.loseReplies(2, 0, true);
    List<String> progress = new ArrayList<>();
    SheetPublisher publisher = new SheetPublisher(log, progress::add);
    assertThrows(PlatformUnavailableException.class, () -> publisher.publish(BASE, 0, "first"));
    assertEquals(2, progress.size());
    log.loseReplies(0, 0, false);
    assertEquals(1, publisher.current().version());
  }

  @Test
  void anUnavailableLogIsReportedAfterTheLastAttempt() {
    log.loseReplies(0, Integer.MAX_VALUE, true);
    List<String> progress = new ArrayList<>();
    SheetPublisher publisher = new SheetPublisher(log, progress::add);
    assertThrows(PlatformUnavailableException.class, () -> publisher.publish(BASE, 0, "first"));
    assertEquals(
        List.of(
            "the log gave no answer to append 1, try 2 of 5",
            "the log gave no answer to append 1, try 3 of 5",
            "the log gave no answer to append 1, try 4 of 5",
            "the log gave no answer to append 1, try 5 of 5"),
        progress);
  }

  @Test
  void concurrentChangesOfDifferentRowsAreMerged() throws PlatformUnavailableException {
    publish(BASE, 0);
    publish(BASE.replace("class,a,0", "class,a,7"), 1);
    SheetVersion merged = publish(BASE.replace("class,b,0", "class,b,8"), 1);
    assertEquals(3, merged.version());
    assertTrue(merged.text().contains("class,a,7"), merged.text());
    assertTrue(merged.text().contains("class,b,8"), merged.text());
  }

  @Test
  void aConflictingChangeIsRejectedWithTheRowNamed() throws PlatformUnavailableException {
    publish(BASE, 0);
    publish(BASE.replace("class,a,0", "class,a,7"), 1);
    List<String> reasons =
        new SheetPublisher(log)
            .publish(BASE.replace("class,a,0", "class,a,8"), 1, "second")
            .getLeft();
    assertEquals(
        List.of(
            "LS-7020 rows that were changed since the base version: class a"
                + " (version 2 is in force)"),
        reasons);
  }

  @Test
  void anUnknownBaseVersionIsRejected() throws PlatformUnavailableException {
    List<String> reasons = new SheetPublisher(log).publish(BASE, 5, "first").getLeft();
    assertTrue(reasons.get(0).startsWith("LS-7021"), reasons.toString());
  }

  @Test
  void aPublisherRestoresASnapshotWhereTheFirstRecordsHaveExpired()
      throws PlatformUnavailableException {
    publish(BASE, 0);
    int kept = log.size();
    LedgerStream<SheetLedger> stream = new LedgerStream<>(new SheetLedger());
    for (StoredRecord record : log.read("config", 0, kept, Duration.ZERO).records()) {
      RecordPosition position = new RecordPosition(record.offset(), record.appendTimeMillis());
      stream.apply(position, decode(record), (appliedAt, proposal, effective) -> {});
    }
    byte[] state = StateCodec.encode(stream.snapshot());
    RecordBatch snapshot =
        RecordBatch.of(
            "entry",
            1,
            List.of(
                new SnapshotPart("snapshot", 0, state),
                new SnapshotCommitted("snapshot", 1, kept - 1, stream.stateMachine().digest())));
    log.append("config", LedgerCodec.encode(snapshot));
    log.expireBefore(kept);
    assertEquals(2, publish(BASE.replace("class,a,0", "class,a,7"), 1).version());
    log.expireBefore(kept + 1);
    assertThrows(PlatformUnavailableException.class, () -> new SheetPublisher(log).current());
  }

  private static RecordBatch decode(StoredRecord record) {
    try {
      return LedgerCodec.decode(record.bytes());
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
  }

  private SheetVersion publish(String text, long base) throws PlatformUnavailableException {
    return new SheetPublisher(log).publish(text, base, "operator").get();
  }
}
