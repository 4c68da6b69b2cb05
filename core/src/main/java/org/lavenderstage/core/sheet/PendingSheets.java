package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.StateDigest;

/**
 * Parts of publications whose commit was not read yet. Publications that are too old, and the
 * oldest ones of too many, are dropped by append time, so that abandoned ones need no clean-up.
 */
final class PendingSheets {
  /** How long parts wait for their commit in milliseconds between appends. */
  static final long LIFETIME_MILLIS = 600_000;

  /** Most characters of all parts together. */
  static final long MAX_CHARACTERS = 64_000_000;

  /** Most parts of one publication. */
  static final int MAX_PARTS = 10_000;

  private final Map<String, Pending> bySheet = new LinkedHashMap<>();
  private long characters;

  /**
   * Keeps a part.
   *
   * @param sheet identifier of the publication
   * @param index place of the part
   * @param content text of the part
   * @param nowMillis time of the append
   * @return false for a part that is kept already or cannot be taken
   */
  boolean add(String sheet, int index, String content, long nowMillis) {
    if (index < 0 || index >= MAX_PARTS || content.length() > MAX_CHARACTERS) {
      return false;
    }
    Pending pending = bySheet.computeIfAbsent(sheet, key -> new Pending(nowMillis));
    if (pending.parts.putIfAbsent(index, content) != null) {
      return false;
    }
    pending.characters += content.length();
    characters += content.length();
    while (characters > MAX_CHARACTERS) {
      remove(bySheet.keySet().iterator().next());
    }
    return true;
  }

  /**
   * Takes the text of a publication out.
   *
   * @param sheet identifier of the publication
   * @param parts count of its parts
   * @return the text, empty where a part is missing
   */
  Optional<String> take(String sheet, int parts) {
    Optional<Pending> pending = remove(sheet);
    return pending
        .filter(kept -> kept.parts.size() == parts && kept.parts.lastKey() == parts - 1)
        .map(kept -> String.join("", kept.parts.values()));
  }

  /**
   * Drops publications that are too old.
   *
   * @param nowMillis time of the append that is being applied
   * @return whether any was dropped
   */
  boolean expire(long nowMillis) {
    List<String> expired = new ArrayList<>();
    bySheet.forEach(
        (sheet, pending) -> {
          if (nowMillis - pending.firstMillis > LIFETIME_MILLIS) {
            expired.add(sheet);
          }
        });
    expired.forEach(this::remove);
    return !expired.isEmpty();
  }

  private Optional<Pending> remove(String sheet) {
    Optional<Pending> removed = Optional.ofNullable(bySheet.remove(sheet));
    removed.ifPresent(pending -> characters -= pending.characters);
    return removed;
  }

  /** Copies the parts in the order of their publications. */
  List<SheetState.PendingPart> parts() {
    List<SheetState.PendingPart> copy = new ArrayList<>();
    bySheet.forEach(
        (sheet, pending) ->
            pending.parts.forEach(
                (index, content) ->
                    copy.add(
                        new SheetState.PendingPart(sheet, index, content, pending.firstMillis))));
    return copy;
  }

  /** Replaces all parts. */
  void restore(List<SheetState.PendingPart> parts) {
    bySheet.clear();
    characters = 0;
    for (SheetState.PendingPart part : parts) {
      boolean unused = add(part.sheet(), part.index(), part.content(), part.firstMillis());
    }
  }

  int size() {
    return bySheet.size();
  }

  long characters() {
    return characters;
  }

  void addTo(StateDigest digest) {
    bySheet.forEach(
        (sheet, pending) -> digest.add(sheet).add(pending.firstMillis).add(pending.parts));
  }

  /** The parts of one publication. */
  private static final class Pending {
    private final long firstMillis;
    private final TreeMap<Integer, String> parts = new TreeMap<>();
    private long characters;

    private Pending(long firstMillis) {
      this.firstMillis = firstMillis;
    }
  }
}
