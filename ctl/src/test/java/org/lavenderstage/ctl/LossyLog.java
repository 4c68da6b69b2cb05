package org.lavenderstage.ctl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.platform.LogPage;
import org.lavenderstage.wire.platform.StoredRecord;

/** In-memory log that loses appends or only the replies to them. */
final class LossyLog implements Log {
  private final List<StoredRecord> records = new ArrayList<>();
  private int lostAfterEffect;
  private int lostBeforeEffect;
  private boolean readsFail;
  private int firstKeptOffset;

  void loseReplies(int afterEffect, int beforeEffect, boolean failReads) {
    lostAfterEffect = afterEffect;
    lostBeforeEffect = beforeEffect;
    readsFail = failReads;
  }

  /** Removes all records before an offset, as if their retention had ended. */
  void expireBefore(int offset) {
    firstKeptOffset = offset;
  }

  int size() {
    return records.size();
  }

  @Override
  public long append(String stream, byte[] bytes) throws PlatformUnavailableException {
    if (lostBeforeEffect > 0) {
      lostBeforeEffect--;
      throw new PlatformUnavailableException("append", null);
    }
    long offset = records.size();
    records.add(new StoredRecord(offset, offset, bytes));
    if (lostAfterEffect > 0) {
      lostAfterEffect--;
      throw new PlatformUnavailableException("append", null);
    }
    return offset;
  }

  @Override
  public LogPage read(String stream, long fromOffset, int max, Duration wait)
      throws PlatformUnavailableException {
    if (readsFail) {
      throw new PlatformUnavailableException("read", null);
    }
    int from = (int) Math.max(firstKeptOffset, fromOffset);
    int to = Math.min(records.size(), from + max);
    return new LogPage(
        firstKeptOffset, records.size(), records.size(), List.copyOf(records.subList(from, to)));
  }
}
