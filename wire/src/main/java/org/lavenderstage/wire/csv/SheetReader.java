package org.lavenderstage.wire.csv;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetChecker;
import org.lavenderstage.core.sheet.SheetColumn;
import org.lavenderstage.core.sheet.SheetError;
import org.lavenderstage.core.sheet.SheetRow;

/** Reads a sheet's CSV as spreadsheets export it: byte order mark, CRLF, quotes, blank lines. */
public final class SheetReader {
  private static final CsvMapper MAPPER =
      CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();

  private SheetReader() {}

  /**
   * Reads and checks a sheet.
   *
   * @param text the CSV
   * @return the sheet or its errors
   */
  public static SheetCheck read(String text) {
    String body = text.startsWith("\uFEFF") ? text.substring(1) : text;
    try (MappingIterator<String[]> lines = MAPPER.readerFor(String[].class).readValues(body)) {
      return readLines(lines);
    } catch (IOException | RuntimeException e) {
      return failed(new SheetError(1, "", SheetError.Code.MALFORMED, "the text is no CSV"));
    }
  }

  private static SheetCheck readLines(MappingIterator<String[]> lines) throws IOException {
    List<Optional<SheetColumn>> columns = new ArrayList<>();
    List<SheetError> errors = new ArrayList<>();
    List<SheetRow> rows = new ArrayList<>();
    while (lines.hasNextValue()) {
      String[] cells = lines.nextValue();
      int line = lines.getParser().currentTokenLocation().getLineNr();
      if (Arrays.stream(cells).allMatch(String::isBlank)) {
        continue;
      }
      if (columns.isEmpty()) {
        readHeader(line, cells, columns, errors);
      } else {
        rows.add(row(line, cells, columns));
      }
    }
    if (!errors.isEmpty()) {
      return new SheetCheck(Optional.empty(), errors);
    }
    return SheetChecker.check(rows);
  }

  private static void readHeader(
      int line, String[] cells, List<Optional<SheetColumn>> columns, List<SheetError> errors) {
    for (String cell : cells) {
      Optional<SheetColumn> column = SheetColumn.of(cell);
      columns.add(column);
      if (column.isEmpty() && !cell.isBlank()) {
        errors.add(new SheetError(line, cell, SheetError.Code.UNKNOWN_COLUMN, "no such column"));
      }
    }
    for (SheetColumn column : SheetColumn.values()) {
      if (!columns.contains(Optional.of(column))) {
        errors.add(
            new SheetError(
                line, column.header(), SheetError.Code.MISSING_COLUMN, "the column is missing"));
      }
    }
  }

  private static SheetRow row(int line, String[] cells, List<Optional<SheetColumn>> columns) {
    Map<SheetColumn, String> values = new EnumMap<>(SheetColumn.class);
    for (int i = 0; i < Math.min(cells.length, columns.size()); i++) {
      String cell = cells[i];
      columns.get(i).ifPresent(column -> values.put(column, cell));
    }
    return new SheetRow(line, values);
  }

  private static SheetCheck failed(SheetError error) {
    return new SheetCheck(Optional.empty(), List.of(error));
  }
}
