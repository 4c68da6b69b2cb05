package org.lavenderstage.core.sheet;

import java.util.List;

/**
 * The reason why a commit did not take effect.
 *
 * @param code code of the reason
 * @param rows keys of the first rows that caused the refusal, at most {@link #MAX_ROWS}
 * @param rowCount number of all rows that caused the refusal
 * @param currentVersion version that was in force at the commit's offset in the log
 */
public record SheetRefusal(Code code, List<String> rows, int rowCount, long currentVersion)
    implements SheetOutcome {
  /** Maximum number of rows that a refusal names. */
  public static final int MAX_ROWS = 100;

  /** Copies the rows. */
  public SheetRefusal {
    rows = List.copyOf(rows);
  }

  static SheetRefusal of(Code code, List<String> rows, long currentVersion) {
    List<String> named = rows.subList(0, Math.min(rows.size(), MAX_ROWS));
    return new SheetRefusal(code, named, rows.size(), currentVersion);
  }

  /** Codes of the reasons; docs/RESULTS.md has a row for each. */
  public enum Code {
    /**
     * Rows that the operator changed have also been changed by another operator since the base
     * version.
     */
    CONFLICT(7020, "rows that were changed since the base version"),
    /** The base version is unknown or too old for a merge. */
    BASE_UNKNOWN(7021, "the base version is unknown or too old"),
    /** Not all parts were in the log before the commit. */
    INCOMPLETE(7022, "parts are missing"),
    /** The text that the parts form does not match the digest. */
    DIGEST_MISMATCH(7023, "the text does not match its digest"),
    /** The text is not in the canonical form. */
    NOT_CANONICAL(7024, "the text is not canonical"),
    /**
     * After the merge, a pair rule would name a service or class that is not declared by any row.
     */
    DANGLING_PAIR(7025, "pair rules whose service or class was removed"),
    /** The columns differ from those of the version in force and the base is an older version. */
    COLUMNS_CHANGED(7026, "the columns differ from those in force; start from that version");

    private final int number;
    private final String detail;

    Code(int number, String detail) {
      this.number = number;
      this.detail = detail;
    }

    int number() {
      return number;
    }

    static Code of(int number) {
      for (Code code : values()) {
        if (code.number == number) {
          return code;
        }
      }
      throw new IllegalArgumentException("unknown number of a sheet refusal: " + number);
    }

    /**
     * Returns the code as it appears in messages and documentation.
     *
     * @return the code, such as {@code LS-7020}
     */
    public String label() {
      return "LS-" + number;
    }
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(code.label()).append(' ').append(code.detail);
    if (!rows.isEmpty()) {
      text.append(": ").append(String.join("; ", rows));
    }
    if (rowCount > rows.size()) {
      text.append("; and ").append(rowCount - rows.size()).append(" more");
    }
    return text.append(" (version ").append(currentVersion).append(" is in force)").toString();
  }
}
