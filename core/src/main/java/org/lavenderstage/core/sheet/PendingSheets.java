package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.StateDigest;

/**
 * The parts of publications whose commit has not been read yet. Publications that exceed their
 * lifetime, and the oldest ones above the size limit, are dropped based on append times, so that
 * abandoned publications need no clean-up.
 */
final class PendingSheets {
  /**
   * Time for which a publication's parts are kept without a commit, in milliseconds of append time.
   */
  static final long LIFETIME_MILLIS = 600_000;

  /** Maximum total length of all parts in characters. */
  static final long MAX_CHARACTERS = 64_000_000;

  /** Maximum number of parts of one publication. */
  static final int MAX_PARTS = 10_000;

  private final Map<String, Pending> bySheet = new LinkedHashMap<>();
  private long characters;

  /**
   * Adds a part.
   *
   * @param sheet identifier of the publication
   * @param index index of the part, from zero
   * @param content text of the part
   * @param nowMillis append time of the part in milliseconds since 1970
   * @return false if the part is already present or exceeds a limit
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
   * Removes a publication and returns its text.
   *
   * @param sheet identifier of the publication
   * @param parts number of its parts
   * @return the text, empty if a part is missing
   */
  Optional<String> removeText(String sheet, int parts) {
    Optional<Pending> pending = remove(sheet);
    return pending
        .filter(kept -> kept.parts.size() == parts && kept.parts.lastKey() == parts - 1)
        .map(kept -> String.join("", kept.parts.values()));
  }

  /**
   * Drops publications that exceed their lifetime.
   *
   * @param nowMillis append time of the record that is being applied, in milliseconds since 1970
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

  /** Returns a copy of the parts, in the order of their publications. */
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
