package org.lavenderstage.core.sheet;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;

/**
 * The replicated state of the configuration stream. A sheet takes effect completely with its commit
 * record or not at all. A commit from an older base version is merged row by row with the changes
 * that others have committed since; if a row was changed differently on both sides, the first
 * commit in log order wins and the other is refused. Versions are numbered in log order, so that an
 * older one never replaces a newer one.
 */
public final class SheetLedger implements StateMachine {
  /** Maximum number of commits whose outcomes are kept. */
  static final int MAX_OUTCOMES = 64;

  private final SheetMerge.Rule merge;
  private final PendingSheets pending = new PendingSheets();
  private final SheetHistory history = new SheetHistory();
  private final Map<String, SheetOutcome> outcomes = new LinkedHashMap<>();
  private SheetVersion current = SheetVersion.NONE;
  private SheetText rows = new SheetText("", new TreeMap<>());
  private Optional<String> cachedDigest = Optional.empty();

  /** Creates the state before the first publication. */
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
          case SheetPart part -> addPart(at, part);
          case SheetCommitted committed -> commit(at, committed);
          default -> false;
        };
    if (expired || effective || record instanceof SheetCommitted) {
      cachedDigest = Optional.empty();
    }
    return effective;
  }

  private boolean addPart(RecordPosition at, SheetPart part) {
    return !outcomes.containsKey(part.sheet())
        && pending.add(part.sheet(), part.index(), part.content(), at.appendTimeMillis());
  }

  private boolean commit(RecordPosition at, SheetCommitted committed) {
    if (outcomes.containsKey(committed.sheet())) {
      return false;
    }
    SheetOutcome outcome = evaluate(at, committed);
    outcomes.put(committed.sheet(), outcome);
    if (outcomes.size() > MAX_OUTCOMES) {
      outcomes.remove(outcomes.keySet().iterator().next());
    }
    return outcome instanceof SheetOutcome.Accepted;
  }

  private SheetOutcome evaluate(RecordPosition at, SheetCommitted committed) {
    Optional<String> text = pending.removeText(committed.sheet(), committed.parts());
    if (text.isEmpty()) {
      return refusal(SheetRefusal.Code.INCOMPLETE);
    }
    if (!StateDigest.sha256Hex(text.get()).equals(committed.digest())) {
      return refusal(SheetRefusal.Code.DIGEST_MISMATCH);
    }
    Optional<SheetText> published = SheetText.parse(text.get());
    if (published.isEmpty()) {
      return refusal(SheetRefusal.Code.NOT_CANONICAL);
    }
    Optional<Map<String, Optional<String>>> changed =
        history.changedSince(committed.baseVersion(), current.version());
    if (changed.isEmpty()) {
      return refusal(SheetRefusal.Code.BASE_UNKNOWN);
    }
    boolean fromCurrent = committed.baseVersion() == current.version();
    if (!fromCurrent && !published.get().header().equals(rows.header())) {
      return refusal(SheetRefusal.Code.COLUMNS_CHANGED);
    }
    return mergeRows(at, published.get(), changed.get(), fromCurrent);
  }

  private SheetOutcome mergeRows(
      RecordPosition at,
      SheetText published,
      Map<String, Optional<String>> changed,
      boolean fromCurrent) {
    SheetMerge.Result result = merge.merge(changed, rows.rows(), published.rows());
    if (!result.conflicts().isEmpty()) {
      return SheetRefusal.of(SheetRefusal.Code.CONFLICT, result.conflicts(), current.version());
    }
    SheetText merged = new SheetText(published.header(), result.rows());
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
   * @return the version, {@link SheetVersion#NONE} before the first publication
   */
  public SheetVersion current() {
    return current;
  }

  /**
   * Returns the outcome of a commit.
   *
   * @param sheet identifier of the publication
   * @return the outcome, empty if no commit was read or its outcome is no longer kept
   */
  public Optional<SheetOutcome> outcome(String sheet) {
    return Optional.ofNullable(outcomes.get(sheet));
  }

  /**
   * Returns the number of publications whose commit has not been read yet.
   *
   * @return the count
   */
  public int pendingSheets() {
    return pending.size();
  }

  /**
   * Returns the total length of the publications whose commit has not been read yet.
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
      throw new IllegalArgumentException("expected a SheetState, found " + state.getClass());
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
