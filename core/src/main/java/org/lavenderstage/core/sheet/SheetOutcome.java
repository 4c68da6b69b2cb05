package org.lavenderstage.core.sheet;

/** The outcome of a commit. */
public sealed interface SheetOutcome permits SheetOutcome.Accepted, SheetRefusal {
  /**
   * The commit took effect.
   *
   * @param version the version that it created
   * @param merged whether changes of versions after its base version were merged into it
   */
  record Accepted(long version, boolean merged) implements SheetOutcome {}
}
