package org.lavenderstage.ctl;

import java.time.Duration;
import java.util.Optional;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.wire.codec.SnapshotSearch;
import org.lavenderstage.wire.platform.LogPage;

/** Finds the snapshot to restore from in a stream whose first records the log no longer keeps. */
final class SnapshotFinder {
  private static final int PAGE_RECORDS = 1000;

  private final Log log;
  private final String stream;

  SnapshotFinder(Log log, String stream) {
    this.log = log;
    this.stream = stream;
  }

  /**
   * Searches the records that the log keeps for a complete snapshot.
   *
   * @param firstKeptOffset offset of the first record that the log keeps
   * @return a state after which the log keeps all records
   * @throws PlatformUnavailableException where the log does not reply or keeps no such snapshot
   */
  StreamState find(long firstKeptOffset) throws PlatformUnavailableException {
    SnapshotSearch search = new SnapshotSearch(firstKeptOffset);
    LogPage page;
    do {
      page = log.read(stream, search.nextOffset(), PAGE_RECORDS, Duration.ZERO);
      Optional<StreamState> state = search.search(page);
      if (state.isPresent()) {
        return state.get();
      }
    } while (search.nextOffset() < page.endOffset() && !page.records().isEmpty());
    throw new PlatformUnavailableException(
        "the log keeps no snapshot of " + stream + " that leads on to its records", null);
  }
}
