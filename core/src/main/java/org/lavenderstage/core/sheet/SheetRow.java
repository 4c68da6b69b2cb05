package org.lavenderstage.core.sheet;

import java.util.Map;

/**
 * One unchecked row of a sheet.
 *
 * @param line line of the row in the file, from one
 * @param cells values by column; a column without a value may be left out
 */
public record SheetRow(int line, Map<SheetColumn, String> cells) {
  /** Copies the cells. */
  public SheetRow {
    cells = Map.copyOf(cells);
  }

  /**
   * Returns a cell without surrounding blanks.
   *
   * @param column its column
   * @return the value, empty text for none
   */
  public String cell(SheetColumn column) {
    return cells.getOrDefault(column, "").strip();
  }
}
