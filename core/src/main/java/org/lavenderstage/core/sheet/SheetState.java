package org.lavenderstage.core.sheet;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The whole state of the configuration.
 *
 * @param current the version in force
 * @param parts parts that wait for their commit
 * @param changes the rows that each of the last versions replaced, the oldest version first
 * @param outcomes outcomes of the last commits, the oldest first
 */
public record SheetState(
    SheetVersion current,
    List<PendingPart> parts,
    List<VersionChange> changes,
    List<CommitOutcome> outcomes)
    implements FoldState {
  /** Copies the lists. */
  public SheetState {
    parts = List.copyOf(parts);
    changes = List.copyOf(changes);
    outcomes = List.copyOf(outcomes);
  }

  /**
   * A part that waits for its commit.
   *
   * @param sheet identifier of the publication
   * @param index place of the part, from zero
   * @param content text of the part
   * @param firstMillis append time of the publication's first part
   */
  public record PendingPart(String sheet, int index, String content, long firstMillis) {}

  /**
   * The rows that one version replaced.
   *
   * @param version the version
   * @param rows the rows
   */
  public record VersionChange(long version, List<ReplacedRow> rows) {
    /** Copies the rows. */
    public VersionChange {
      rows = List.copyOf(rows);
    }
  }

  /**
   * A row before a change.
   *
   * @param key key of the row
   * @param line its line, empty where there was none
   */
  public record ReplacedRow(String key, String line) {}

  /**
   * What became of a commit, in plain values.
   *
   * @param sheet identifier of the publication
   * @param accepted whether it took effect
   * @param version the version that it made, or the one in force where it was refused
   * @param merged whether rows of versions after its base were kept
   * @param code number of the reason, 0 where it took effect
   * @param rows keys of the first rows at fault
   * @param rowCount count of all rows at fault
   */
  public record CommitOutcome(
      String sheet,
      boolean accepted,
      long version,
      boolean merged,
      int code,
      List<String> rows,
      int rowCount) {
    /** Copies the rows. */
    public CommitOutcome {
      rows = List.copyOf(rows);
    }

    static CommitOutcome of(String sheet, SheetOutcome outcome) {
      return switch (outcome) {
        case SheetOutcome.Accepted known ->
            new CommitOutcome(sheet, true, known.version(), known.merged(), 0, List.of(), 0);
        case SheetRefusal known ->
            new CommitOutcome(
                sheet,
                false,
                known.currentVersion(),
                false,
                known.code().number(),
                known.rows(),
                known.rowCount());
      };
    }

    SheetOutcome outcome() {
      return accepted
          ? new SheetOutcome.Accepted(version, merged)
          : new SheetRefusal(SheetRefusal.Code.of(code), rows, rowCount, version);
    }
  }
}
