package org.lavenderstage.ctl;

import java.time.Duration;
import java.util.Optional;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.wire.codec.SnapshotSearch;
import org.lavenderstage.wire.platform.LogPage;

/** Finds the state to start from in a stream whose first records the log no longer keeps. */
final class SnapshotStart {
  private static final int PAGE = 1000;

  private final Log log;
  private final String stream;

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
    SnapshotSearch search = new SnapshotSearch(firstKept);
    LogPage page;
    do {
      page = log.read(stream, search.nextOffset(), PAGE, Duration.ZERO);
      Optional<StreamState> state = search.search(page);
      if (state.isPresent()) {
        return state.get();
      }
    } while (search.nextOffset() < page.endOffset() && !page.records().isEmpty());
    throw new PlatformUnavailableException(
        "the log keeps no snapshot of " + stream + " that leads on to its records", null);
  }
}
