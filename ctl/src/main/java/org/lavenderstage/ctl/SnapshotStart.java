package org.lavenderstage.ctl;

import java.time.Duration;
import java.util.Optional;
import org.lavenderstage.core.ledger.SnapshotAssembler;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.platform.Log;
import org.lavenderstage.platform.PlatformUnavailableException;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StateCodec;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/** Finds the state to start from in a stream whose first records the log no longer keeps. */
final class SnapshotStart {
  private static final int PAGE = 1000;

  private final Log log;
  private final String stream;
  private final SnapshotAssembler assembler = new SnapshotAssembler();

  SnapshotStart(Log log, String stream) {
    this.log = log;
    this.stream = stream;
  }

  /**
   * Searches the kept records.
   *
   * @param firstKept first offset that the log keeps
   * @return a state that leads on to the kept records
   * @throws PlatformUnavailableException where the log gives no answer or keeps no such state
   */
  StreamState find(long firstKept) throws PlatformUnavailableException {
    long next = firstKept;
    LogPage page;
    do {
      page = log.read(stream, next, PAGE, Duration.ZERO);
      for (StoredRecord record : page.records()) {
        next = record.offset() + 1;
        Optional<StreamState> state = look(record);
        if (state.filter(found -> found.nextOffset() >= firstKept).isPresent()) {
          return state.get();
        }
      }
    } while (next < page.endOffset() && !page.records().isEmpty());
    throw new PlatformUnavailableException(
        "the log keeps no snapshot of " + stream + " that leads on to its records", null);
  }

  private Optional<StreamState> look(StoredRecord stored) {
    try {
      for (LedgerRecord record : LedgerCodec.decode(stored.bytes()).records()) {
        Optional<byte[]> bytes = assembler.take(record);
        if (bytes.isPresent()) {
          return Optional.of(StateCodec.decode(bytes.get()));
        }
      }
    } catch (MalformedMessageException e) {
      // a record that cannot be read is no snapshot
    }
    return Optional.empty();
  }
}
