package org.lavenderstage.core.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SnapshotCommitted;
import org.lavenderstage.core.record.SnapshotPart;

/**
 * Assembles snapshots from the records of a stream. Duplicate parts, parts in any order and parts
 * of a snapshot that is never committed are tolerated.
 */
public final class SnapshotAssembler {
  private final Map<String, Map<Integer, byte[]>> parts = new HashMap<>();

  /** Creates an assembler without parts. */
  public SnapshotAssembler() {}

  /**
   * Adds one record.
   *
   * @param record any record of the stream
   * @return the bytes of a snapshot, empty unless the record completes one
   */
  public Optional<byte[]> add(LedgerRecord record) {
    return switch (record) {
      case SnapshotPart part -> {
        parts
            .computeIfAbsent(part.snapshot(), snapshot -> new HashMap<>())
            .putIfAbsent(part.index(), part.content());
        yield Optional.empty();
      }
      case SnapshotCommitted committed -> complete(committed);
      default -> Optional.empty();
    };
  }

  private Optional<byte[]> complete(SnapshotCommitted committed) {
    Map<Integer, byte[]> known = parts.remove(committed.snapshot());
    if (known == null || known.size() != committed.parts()) {
      return Optional.empty();
    }
    List<byte[]> ordered = new ArrayList<>();
    int length = 0;
    for (int i = 0; i < committed.parts(); i++) {
      byte[] part = known.get(i);
      if (part == null) {
        return Optional.empty();
      }
      ordered.add(part);
      length += part.length;
    }
    return Optional.of(joined(ordered, length));
  }

  private static byte[] joined(List<byte[]> parts, int length) {
    byte[] whole = new byte[length];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, whole, at, part.length);
      at += part.length;
    }
    return whole;
  }
}
