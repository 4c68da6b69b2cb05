package org.lavenderstage.core.sheet;

/** What became of a commit. */
public sealed interface SheetOutcome permits SheetOutcome.Accepted, SheetRefusal {
  /**
   * The commit took effect.
   *
   * @param version the version that it made
   * @param merged whether rows of versions after its base were kept
   */
  record Accepted(long version, boolean merged) implements SheetOutcome {}
}
