package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The canonical text of a sheet: a line of column names, then one line for each row, ordered by the
 * rows' keys. Values contain no comma, quote or newline, so that the ledger needs no CSV library.
 */
public final class SheetText {
  private static final String SEPARATOR = ",";
  private static final String PAIR = "pair";

  private final String header;
  private final SortedMap<String, String> rows;

  SheetText(String header, SortedMap<String, String> rows) {
    this.header = header;
    this.rows = Collections.unmodifiableSortedMap(rows);
  }

  /**
   * Creates the canonical text of a checked sheet.
   *
   * @param sheet the sheet
   * @return its canonical text
   */
  public static SheetText of(Sheet sheet) {
    TreeMap<String, String> rows = new TreeMap<>();
    sheet.workspaces().forEach(row -> rows.put("workspace " + row.name(), line(row)));
    sheet.services().forEach(row -> rows.put("service " + row.name(), line(row)));
    sheet.batchClasses().forEach(row -> rows.put("class " + row.name(), line(row)));
    sheet
        .pairs()
        .forEach(row -> rows.put("pair " + row.service() + " " + row.batchClass(), line(row)));
    return new SheetText(headerLine(), rows);
  }

  private static String headerLine() {
    return Arrays.stream(SheetColumn.values())
        .map(SheetColumn::header)
        .collect(Collectors.joining(SEPARATOR));
  }

  private static String line(WorkspaceRow row) {
    return new LineWriter("workspace", row.name())
        .put(SheetColumn.RANK, row.rank())
        .put(SheetColumn.SHARE, row.share())
        .put(SheetColumn.QUOTA_CPU, row.quota().cpuMillis())
        .put(SheetColumn.QUOTA_MEMORY, row.quota().memoryMb())
        .put(SheetColumn.QUOTA_ACCELERATORS, row.quota().accelerators())
        .put(SheetColumn.TOKEN, row.tokenSha256())
        .line();
  }

  private static String line(ServiceRow row) {
    return new LineWriter("service", row.name())
        .put(SheetColumn.RANK, row.rank())
        .put(SheetColumn.IDEMPOTENT, row.idempotent() ? "yes" : "no")
        .put(SheetColumn.TIMEOUT, row.timeoutMillis())
        .line();
  }

  private static String line(BatchClassRow row) {
    return new LineWriter("class", row.name())
        .put(SheetColumn.RANK, row.rank())
        .put(SheetColumn.SHARE, row.share())
        .line();
  }

  private static String line(PairRow row) {
    return new LineWriter(PAIR, "")
        .put(SheetColumn.SERVICE, row.service())
        .put(SheetColumn.BATCH_CLASS, row.batchClass())
        .put(SheetColumn.RULE, row.rule().name().toLowerCase(Locale.ROOT))
        .line();
  }

  /**
   * Parses a canonical text.
   *
   * @param text the text
   * @return the parsed text, empty if the text is not canonical
   */
  public static Optional<SheetText> parse(String text) {
    if (!text.endsWith("\n") || text.indexOf('"') >= 0) {
      return Optional.empty();
    }
    int headerEnd = text.indexOf('\n');
    String header = text.substring(0, headerEnd);
    Optional<KeyColumns> columns = KeyColumns.of(header);
    return columns.flatMap(found -> parseRows(header, found, text, headerEnd + 1));
  }

  private static Optional<SheetText> parseRows(
      String header, KeyColumns columns, String text, int start) {
    TreeMap<String, String> rows = new TreeMap<>();
    String last = "";
    for (int from = start; from < text.length(); ) {
      int end = text.indexOf('\n', from);
      String line = text.substring(from, end);
      Optional<String> key = columns.key(line);
      if (key.isEmpty() || key.get().compareTo(last) <= 0) {
        return Optional.empty();
      }
      last = key.get();
      rows.put(last, line);
      from = end + 1;
    }
    return Optional.of(new SheetText(header, rows));
  }

  /**
   * Returns the line of column names.
   *
   * @return the line without its line separator
   */
  public String header() {
    return header;
  }

  /**
   * Returns the rows.
   *
   * @return the line of each row, by its key, such as {@code service jack-voicing}
   */
  public SortedMap<String, String> rows() {
    return rows;
  }

  /**
   * Returns the whole text.
   *
   * @return the text, with a newline after each line
   */
  public String text() {
    StringBuilder text = new StringBuilder(header).append('\n');
    rows.values().forEach(line -> text.append(line).append('\n'));
    return text.toString();
  }

  /**
   * Returns the pair rules whose service or batch class is not declared by any row.
   *
   * @return the keys of the pair rules
   */
  List<String> danglingPairs() {
    List<String> dangling = new ArrayList<>();
    for (String key : rows.tailMap(PAIR + " ").keySet()) {
      String[] words = key.split(" ", -1);
      if (!words[0].equals(PAIR)) {
        break;
      }
      boolean known =
          rows.containsKey("service " + words[1]) && rows.containsKey("class " + words[2]);
      if (!known) {
        dangling.add(key);
      }
    }
    return dangling;
  }

  /** Builds the line of one row. */
  private static final class LineWriter {
    private final Map<SheetColumn, String> cells = new EnumMap<>(SheetColumn.class);

    private LineWriter(String kind, String name) {
      put(SheetColumn.KIND, kind);
      put(SheetColumn.NAME, name);
    }

    private LineWriter put(SheetColumn column, Object value) {
      cells.put(column, String.valueOf(value));
      return this;
    }

    private String line() {
      return Arrays.stream(SheetColumn.values())
          .map(column -> cells.getOrDefault(column, ""))
          .collect(Collectors.joining(SEPARATOR));
    }
  }

  /** Indexes of the columns that form a row's key; negative where a column is missing. */
  private record KeyColumns(int kind, int name, int service, int batchClass) {
    private static Optional<KeyColumns> of(String header) {
      List<String> names = List.of(header.split(SEPARATOR, -1));
      KeyColumns columns =
          new KeyColumns(
              names.indexOf(SheetColumn.KIND.header()),
              names.indexOf(SheetColumn.NAME.header()),
              names.indexOf(SheetColumn.SERVICE.header()),
              names.indexOf(SheetColumn.BATCH_CLASS.header()));
      boolean complete =
          columns.kind >= 0 && columns.name >= 0 && columns.service >= 0 && columns.batchClass >= 0;
      return complete ? Optional.of(columns) : Optional.empty();
    }

    private Optional<String> key(String line) {
      String[] cells = line.split(SEPARATOR, -1);
      int last = Math.max(Math.max(kind, name), Math.max(service, batchClass));
      if (cells.length <= last || cells[kind].isEmpty()) {
        return Optional.empty();
      }
      return Optional.of(
          cells[kind].equals(PAIR)
              ? PAIR + " " + cells[service] + " " + cells[batchClass]
              : cells[kind] + " " + cells[name]);
    }
  }
}
