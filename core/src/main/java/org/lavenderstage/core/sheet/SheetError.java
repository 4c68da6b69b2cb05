package org.lavenderstage.core.sheet;

/**
 * One fault of a sheet.
 *
 * @param line line in the file, from one
 * @param column name of the column, empty where the whole row is at fault
 * @param code what is wrong
 * @param detail explanation for people
 */
public record SheetError(int line, String column, Code code, String detail) {
  /** What can be wrong with a sheet; docs/RESULTS.md has a row for each. */
  public enum Code {
    /** A column of the first line that is not known. */
    UNKNOWN_COLUMN(7001),
    /** A column that every sheet needs. */
    MISSING_COLUMN(7002),
    /** A kind that is not known. */
    UNKNOWN_KIND(7003),
    /** A value that the row needs. */
    MISSING_VALUE(7004),
    /** A value that cannot be read or lies outside its range. */
    BAD_VALUE(7005),
    /** A second row of the same kind and name. */
    DUPLICATE_ROW(7006),
    /** A name that no row of the sheet declares. */
    UNKNOWN_NAME(7007),
    /** A text that is no CSV. */
    MALFORMED(7008),
    /** A value beyond the last column of the first line. */
    EXTRA_VALUE(7009),
    /** A second column of the same name. */
    DUPLICATE_COLUMN(7010),
    /** A text without any row. */
    NO_ROWS(7011);

    private final int number;

    Code(int number) {
      this.number = number;
    }

    /**
     * Returns the code as it stands in messages and docs.
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
