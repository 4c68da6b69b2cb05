package org.lavenderstage.core.sheet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.Fold;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;

/**
 * The fold of the configuration stream. A sheet takes effect whole with its commit record or not at
 * all. A commit from an older base is merged row by row with what others changed since; where both
 * changed a row in different ways, the first commit in log order stands and the other is refused.
 * Versions are numbered in log order, so that an older one never replaces a newer one.
 */
public final class SheetLedger implements Fold {
  /** Most outcomes of commits that are kept to be read. */
  static final int MAX_OUTCOMES = 64;

  private final SheetMerge.Rule merge;
  private final PendingSheets pending = new PendingSheets();
  private final SheetHistory history = new SheetHistory();
  private final Map<String, SheetOutcome> outcomes = new LinkedHashMap<>();
  private SheetVersion current = SheetVersion.NONE;
  private SheetText rows = new SheetText("", new TreeMap<>());
  private Optional<String> cachedDigest = Optional.empty();

  /** Starts before the first publication. */
  public SheetLedger() {
    this(SheetMerge::merge);
  }

  SheetLedger(SheetMerge.Rule merge) {
    this.merge = merge;
  }

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    boolean expired = pending.expire(at.appendTimeMillis());
    boolean effective =
        switch (record) {
          case SheetPart part -> keep(at, part);
          case SheetCommitted committed -> commit(at, committed);
          default -> false;
        };
    if (expired || effective || record instanceof SheetCommitted) {
      cachedDigest = Optional.empty();
    }
    return effective;
  }

  private boolean keep(RecordPosition at, SheetPart part) {
    return !outcomes.containsKey(part.sheet())
        && pending.add(part.sheet(), part.index(), part.content(), at.appendTimeMillis());
  }

  private boolean commit(RecordPosition at, SheetCommitted committed) {
    if (outcomes.containsKey(committed.sheet())) {
      return false;
    }
    SheetOutcome outcome = judge(at, committed);
    outcomes.put(committed.sheet(), outcome);
    if (outcomes.size() > MAX_OUTCOMES) {
      outcomes.remove(outcomes.keySet().iterator().next());
    }
    return outcome instanceof SheetOutcome.Accepted;
  }

  private SheetOutcome judge(RecordPosition at, SheetCommitted committed) {
    Optional<String> text = pending.take(committed.sheet(), committed.parts());
    if (text.isEmpty()) {
      return refusal(SheetRefusal.Code.INCOMPLETE);
    }
    if (!StateDigest.sha256Hex(text.get()).equals(committed.digest())) {
      return refusal(SheetRefusal.Code.DIGEST_MISMATCH);
    }
    Optional<SheetText> mine = SheetText.parse(text.get());
    if (mine.isEmpty()) {
      return refusal(SheetRefusal.Code.NOT_CANONICAL);
    }
    Optional<Map<String, Optional<String>>> changed =
        history.changedSince(committed.baseVersion(), current.version());
    if (changed.isEmpty()) {
      return refusal(SheetRefusal.Code.BASE_UNKNOWN);
    }
    boolean fromCurrent = committed.baseVersion() == current.version();
    if (!fromCurrent && !mine.get().header().equals(rows.header())) {
      return refusal(SheetRefusal.Code.COLUMNS_CHANGED);
    }
    return judgeRows(at, mine.get(), changed.get(), fromCurrent);
  }

  private SheetOutcome judgeRows(
      RecordPosition at,
      SheetText mine,
      Map<String, Optional<String>> changed,
      boolean fromCurrent) {
    SheetMerge.Result result = merge.merge(changed, rows.rows(), mine.rows());
    if (!result.conflicts().isEmpty()) {
      return SheetRefusal.of(SheetRefusal.Code.CONFLICT, result.conflicts(), current.version());
    }
    SheetText merged = new SheetText(mine.header(), result.rows());
    if (!merged.danglingPairs().isEmpty()) {
      return SheetRefusal.of(
          SheetRefusal.Code.DANGLING_PAIR, merged.danglingPairs(), current.version());
    }
    replace(at, merged);
    return new SheetOutcome.Accepted(current.version(), !fromCurrent);
  }

  private SheetRefusal refusal(SheetRefusal.Code code) {
    return SheetRefusal.of(code, List.of(), current.version());
  }

  private void replace(RecordPosition at, SheetText merged) {
    long version = current.version() + 1;
    String text = merged.text();
    history.add(version, SheetMerge.difference(rows.rows(), merged.rows()));
    current = new SheetVersion(version, text, StateDigest.sha256Hex(text), at.appendTimeMillis());
    rows = merged;
  }

  /**
   * Returns the version in force.
   *
   * @return the version, {@link SheetVersion#NONE} before the first
   */
  public SheetVersion current() {
    return current;
  }

  /**
   * Tells what became of a commit.
   *
   * @param sheet identifier of the publication
   * @return the outcome, empty where no commit was read or it is one of too long ago
   */
  public Optional<SheetOutcome> outcome(String sheet) {
    return Optional.ofNullable(outcomes.get(sheet));
  }

  /**
   * Counts the publications whose commit was not read yet.
   *
   * @return the count
   */
  public int pendingSheets() {
    return pending.size();
  }

  /**
   * Counts the characters of the publications whose commit was not read yet.
   *
   * @return the count
   */
  public long pendingCharacters() {
    return pending.characters();
  }

  @Override
  public String digest() {
    if (cachedDigest.isEmpty()) {
      StateDigest digest = new StateDigest().add(current).add(outcomes);
      pending.addTo(digest);
      cachedDigest = Optional.of(digest.hex());
    }
    return cachedDigest.get();
  }

  @Override
  public SheetState snapshot() {
    return new SheetState(
        current,
        pending.parts(),
        history.changes(),
        outcomes.entrySet().stream()
            .map(known -> SheetState.CommitOutcome.of(known.getKey(), known.getValue()))
            .toList());
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof SheetState kept)) {
      throw new IllegalArgumentException("no state of the configuration: " + state.getClass());
    }
    current = kept.current();
    rows = SheetText.parse(current.text()).orElse(new SheetText("", new TreeMap<>()));
    pending.restore(kept.parts());
    history.restore(kept.changes());
    outcomes.clear();
    kept.outcomes().forEach(known -> outcomes.put(known.sheet(), known.outcome()));
    cachedDigest = Optional.empty();
  }
}
