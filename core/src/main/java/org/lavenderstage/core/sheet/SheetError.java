package org.lavenderstage.core.sheet;

/**
 * One error in a sheet.
 *
 * @param line line number in the file, from one
 * @param column name of the column, empty if the error concerns the whole row
 * @param code code of the error
 * @param detail human-readable explanation
 */
public record SheetError(int line, String column, Code code, String detail) {
  /** Codes of the errors in a sheet; docs/RESULTS.md has a row for each. */
  public enum Code {
    /** An unknown column in the header line. */
    UNKNOWN_COLUMN(7001),
    /** A required column is missing. */
    MISSING_COLUMN(7002),
    /** An unknown kind of row. */
    UNKNOWN_KIND(7003),
    /** A required value is missing. */
    MISSING_VALUE(7004),
    /** A value that cannot be parsed or is out of range. */
    BAD_VALUE(7005),
    /** A second row with the same kind and name. */
    DUPLICATE_ROW(7006),
    /** A name that is not declared by any row of the sheet. */
    UNKNOWN_NAME(7007),
    /** A text that is not valid CSV. */
    MALFORMED(7008),
    /** A value beyond the last column of the header line. */
    EXTRA_VALUE(7009),
    /** A second column with the same name. */
    DUPLICATE_COLUMN(7010),
    /** A text without any row. */
    NO_ROWS(7011);

    private final int number;

    Code(int number) {
      this.number = number;
    }

    /**
     * Returns the code as it appears in messages and documentation.
     *
     * @return the code, such as {@code LS-7001}
     */
    public String label() {
      return "LS-" + number;
    }
  }

  @Override
  public String toString() {
    String place = column.isEmpty() ? "line " + line : "line " + line + ", column " + column;
    return place + ": " + code.label() + " " + detail;
  }
}
