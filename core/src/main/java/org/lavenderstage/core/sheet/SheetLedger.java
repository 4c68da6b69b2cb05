package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.Fold;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;

/**
 * The fold of the configuration stream. A sheet takes effect whole with its commit record; of two
 * commits from the same base the first in log order wins.
 */
public final class SheetLedger implements Fold {
  private final Map<String, TreeMap<Integer, String>> parts = new TreeMap<>();
  private SheetVersion current = SheetVersion.NONE;

  /** Starts before the first publication. */
  public SheetLedger() {}

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    return switch (record) {
      case SheetPart part -> keep(part);
      case SheetCommitted committed -> commit(at, committed);
      default -> false;
    };
  }

  private boolean keep(SheetPart part) {
    return parts
            .computeIfAbsent(part.sheet(), sheet -> new TreeMap<>())
            .putIfAbsent(part.index(), part.content())
        == null;
  }

  private boolean commit(RecordPosition at, SheetCommitted committed) {
    TreeMap<Integer, String> kept = parts.remove(committed.sheet());
    if (kept == null
        || kept.size() != committed.parts()
        || committed.baseVersion() != current.version()) {
      return false;
    }
    String text = String.join("", kept.values());
    if (!StateDigest.sha256Hex(text).equals(committed.digest())) {
      return false;
    }
    current =
        new SheetVersion(current.version() + 1, text, committed.digest(), at.appendTimeMillis());
    return true;
  }

  /**
   * Returns the version in force.
   *
   * @return the version, {@link SheetVersion#NONE} before the first
   */
  public SheetVersion current() {
    return current;
  }

  @Override
  public String digest() {
    return new StateDigest().add(current).add(parts).hex();
  }

  @Override
  public SheetState snapshot() {
    List<SheetPart> waiting = new ArrayList<>();
    parts.forEach(
        (sheet, known) ->
            known.forEach((index, text) -> waiting.add(new SheetPart(sheet, index, text))));
    return new SheetState(current, waiting);
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof SheetState kept)) {
      throw new IllegalArgumentException("no state of the configuration: " + state.getClass());
    }
    current = kept.current();
    parts.clear();
    kept.parts().forEach(this::keep);
  }
}
