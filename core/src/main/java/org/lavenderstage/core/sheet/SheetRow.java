package org.lavenderstage.core.sheet;

import java.util.Map;

/**
 * One unchecked row of a sheet.
 *
 * @param line line number of the row in the file, from one
 * @param cells values by column; a column without a value may be left out
 */
public record SheetRow(int line, Map<SheetColumn, String> cells) {
  /** Copies the cells. */
  public SheetRow {
    cells = Map.copyOf(cells);
  }

  /**
   * Returns the value of a cell, stripped of surrounding white space.
   *
   * @param column its column
   * @return the value, an empty string for none
   */
  public String cell(SheetColumn column) {
    return cells.getOrDefault(column, "").strip();
  }
}
