package org.lavenderstage.wire.csv;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;
import com.fasterxml.jackson.dataformat.csv.CsvSchema;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetChecker;
import org.lavenderstage.core.sheet.SheetColumn;
import org.lavenderstage.core.sheet.SheetError;
import org.lavenderstage.core.sheet.SheetRow;

/**
 * Parses a sheet's CSV as exported by spreadsheets: with a byte order mark, any line ending,
 * quotes, quoted newlines, blank lines, trailing empty columns, columns in any order, commas or
 * semicolons.
 */
public final class SheetReader {
  private static final CsvMapper MAPPER =
      CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();
  private static final String BYTE_ORDER_MARK = "\uFEFF";
  private static final int MAX_QUOTED_CHARACTERS = 40;

  private final List<Optional<SheetColumn>> columns = new ArrayList<>();
  private final List<SheetError> errors = new ArrayList<>();
  private final List<SheetRow> rows = new ArrayList<>();
  private int headerLine;

  private SheetReader() {}

  /**
   * Parses and checks a sheet.
   *
   * @param text CSV text
   * @return the sheet, or all errors
   */
  public static SheetCheck read(String text) {
    String body = text.startsWith(BYTE_ORDER_MARK) ? text.substring(1) : text;
    SheetReader reader = new SheetReader();
    List<Integer> lines = LineNumbers.firstLines(body);
    CsvSchema schema = CsvSchema.emptySchema().withColumnSeparator(columnSeparator(body));
    try (MappingIterator<String[]> records =
        MAPPER.readerFor(String[].class).with(schema).readValues(body)) {
      reader.readRecords(records, lines);
    } catch (JsonProcessingException e) {
      int line = e.getLocation() == null ? 1 : Math.max(1, e.getLocation().getLineNr());
      reader.errors.add(
          new SheetError(line, "", SheetError.Code.MALFORMED, "the text is no CSV from here on"));
    } catch (IOException e) {
      reader.errors.add(new SheetError(1, "", SheetError.Code.MALFORMED, "the text is no CSV"));
    }
    return reader.check();
  }

  private static char columnSeparator(String body) {
    String firstLine = body.stripLeading().lines().findFirst().orElse("");
    if (firstLine.indexOf(',') >= 0) {
      return ',';
    }
    return firstLine.indexOf(';') >= 0 ? ';' : ',';
  }

  private SheetCheck check() {
    if (columns.isEmpty() && errors.isEmpty()) {
      errors.add(new SheetError(1, "", SheetError.Code.NO_ROWS, "the text holds no row"));
    }
    Set<SheetColumn> known = EnumSet.noneOf(SheetColumn.class);
    columns.forEach(column -> column.ifPresent(known::add));
    SheetCheck checked = SheetChecker.check(rows, known, headerLine);
    if (errors.isEmpty()) {
      return checked;
    }
    errors.addAll(checked.errors());
    errors.sort((a, b) -> Integer.compare(a.line(), b.line()));
    return new SheetCheck(Optional.empty(), errors);
  }

  private void readRecords(MappingIterator<String[]> records, List<Integer> lines)
      throws IOException {
    int index = 0;
    while (records.hasNextValue()) {
      List<String> cells = Arrays.asList(records.nextValue());
      int line = lines.get(Math.min(index, lines.size() - 1));
      index++;
      if (cells.stream().allMatch(String::isBlank)) {
        continue;
      }
      if (columns.isEmpty()) {
        readHeader(line, cells);
      } else {
        rows.add(row(line, cells));
      }
    }
  }

  private void readHeader(int line, List<String> cells) {
    headerLine = line;
    for (String cell : cells) {
      Optional<SheetColumn> column = SheetColumn.of(cell);
      if (column.isEmpty() && !cell.isBlank()) {
        errors.add(
            new SheetError(line, shorten(cell), SheetError.Code.UNKNOWN_COLUMN, "no such column"));
      }
      if (column.isPresent() && columns.contains(column)) {
        errors.add(
            new SheetError(line, cell, SheetError.Code.DUPLICATE_COLUMN, "a second such column"));
      }
      columns.add(column);
    }
    if (!columns.contains(Optional.of(SheetColumn.KIND))) {
      errors.add(
          new SheetError(
              line,
              SheetColumn.KIND.header(),
              SheetError.Code.MISSING_COLUMN,
              "the column is missing"));
    }
  }

  private SheetRow row(int line, List<String> cells) {
    Map<SheetColumn, String> values = new EnumMap<>(SheetColumn.class);
    for (int i = 0; i < cells.size(); i++) {
      String cell = cells.get(i);
      if (i < columns.size()) {
        columns.get(i).ifPresent(column -> values.put(column, cell));
      } else if (!cell.isBlank()) {
        String detail = "'" + shorten(cell) + "' stands beyond the last column";
        errors.add(new SheetError(line, "", SheetError.Code.EXTRA_VALUE, detail));
      }
    }
    return new SheetRow(line, values);
  }

  private static String shorten(String text) {
    String line = text.replace('\n', ' ').replace('\r', ' ').strip();
    return line.substring(0, Math.min(line.length(), MAX_QUOTED_CHARACTERS));
  }
}
