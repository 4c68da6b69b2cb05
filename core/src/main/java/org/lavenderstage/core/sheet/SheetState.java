package org.lavenderstage.core.sheet;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The complete state of the configuration.
 *
 * @param current the version in force
 * @param parts parts of publications whose commit has not been read yet
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
   * A part of a publication whose commit has not been read yet.
   *
   * @param sheet identifier of the publication
   * @param index index of the part, from zero
   * @param content text of the part
   * @param firstMillis append time of the publication's first part in milliseconds since 1970
   */
  public record PendingPart(String sheet, int index, String content, long firstMillis) {}

  /**
   * The rows that one version replaced.
   *
   * @param version the version that replaced them
   * @param rows the replaced rows
   */
  public record VersionChange(long version, List<ReplacedRow> rows) {
    /** Copies the rows. */
    public VersionChange {
      rows = List.copyOf(rows);
    }
  }

  /**
   * A row as it was before a change.
   *
   * @param key key of the row
   * @param line its line, empty if the row did not exist
   */
  public record ReplacedRow(String key, String line) {}

  /**
   * The outcome of a commit as plain values.
   *
   * @param sheet identifier of the publication
   * @param accepted whether it took effect
   * @param version the version that it created, or the version in force if it was refused
   * @param merged whether changes of versions after its base version were merged into it
   * @param code number of the refusal's code, 0 if the commit took effect
   * @param rows keys of the first rows that caused the refusal
   * @param rowCount number of all rows that caused the refusal
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
