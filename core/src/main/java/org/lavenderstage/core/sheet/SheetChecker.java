package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.lavenderstage.core.placement.Resources;

/**
 * Checks the rows of a sheet and collects all errors, so that operators can fix them in one pass.
 */
public final class SheetChecker {
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final int MAX_NUMBER = 1_000_000_000;

  private final List<SheetError> errors = new ArrayList<>();
  private final List<WorkspaceRow> workspaces = new ArrayList<>();
  private final List<ServiceRow> services = new ArrayList<>();
  private final List<BatchClassRow> batchClasses = new ArrayList<>();
  private final List<PairRow> pairs = new ArrayList<>();
  private final Set<String> seen = new HashSet<>();

  private final Set<String> declaredNames = new HashSet<>();
  private final Set<SheetColumn> reportedMissing = EnumSet.noneOf(SheetColumn.class);
  private final Set<SheetColumn> columns;
  private final int headerLine;

  private SheetChecker(Set<SheetColumn> columns, int headerLine) {
    this.columns = Set.copyOf(columns);
    this.headerLine = headerLine;
  }

  /**
   * Checks the rows of one sheet.
   *
   * @param rows the rows
   * @return the checked sheet, or all errors
   */
  public static SheetCheck check(List<SheetRow> rows) {
    return check(rows, EnumSet.allOf(SheetColumn.class), 1);
  }

  /**
   * Checks the rows of one sheet that may lack columns. A missing column that rows need is reported
   * once.
   *
   * @param rows the rows
   * @param columns the columns that the sheet has
   * @param headerLine line number of the column names
   * @return the checked sheet, or all errors
   */
  public static SheetCheck check(List<SheetRow> rows, Set<SheetColumn> columns, int headerLine) {
    SheetChecker checker = new SheetChecker(columns, headerLine);
    rows.forEach(checker::checkRow);
    rows.stream().filter(SheetChecker::isPair).forEach(checker::checkPairNames);
    if (!checker.errors.isEmpty()) {
      checker.errors.sort(Comparator.comparingInt(SheetError::line));
      return new SheetCheck(Optional.empty(), checker.errors);
    }
    Sheet sheet =
        new Sheet(checker.workspaces, checker.services, checker.batchClasses, checker.pairs);
    return new SheetCheck(Optional.of(sheet), List.of());
  }

  private static boolean isPair(SheetRow row) {
    return row.cell(SheetColumn.KIND).equalsIgnoreCase("pair");
  }

  private void checkRow(SheetRow row) {
    switch (row.cell(SheetColumn.KIND).toLowerCase(Locale.ROOT)) {
      case "workspace" -> checkWorkspace(row);
      case "service" -> checkService(row);
      case "class" -> checkBatchClass(row);
      case "pair" -> checkPair(row);
      default ->
          error(
              row,
              SheetColumn.KIND,
              SheetError.Code.UNKNOWN_KIND,
              "expected workspace, service, class or pair");
    }
  }

  private void checkWorkspace(SheetRow row) {
    String name = name(row, "workspace");
    int rank = number(row, SheetColumn.RANK, 0, 100);
    int share = number(row, SheetColumn.SHARE, 1, MAX_NUMBER);
    Resources quota =
        new Resources(
            number(row, SheetColumn.QUOTA_CPU, 0, MAX_NUMBER),
            number(row, SheetColumn.QUOTA_MEMORY, 0, MAX_NUMBER),
            number(row, SheetColumn.QUOTA_ACCELERATORS, 0, MAX_NUMBER));
    String token = row.cell(SheetColumn.TOKEN).toLowerCase(Locale.ROOT);
    if (!SHA256.matcher(token).matches()) {
      error(row, SheetColumn.TOKEN, SheetError.Code.BAD_VALUE, "expected 64 hexadecimal digits");
    }
    workspaces.add(new WorkspaceRow(name, rank, share, quota, token));
  }

  private void checkService(SheetRow row) {
    String name = name(row, "service");
    int rank = number(row, SheetColumn.RANK, 0, 100);
    boolean idempotent = yesOrNo(row, SheetColumn.IDEMPOTENT);
    int timeout = number(row, SheetColumn.TIMEOUT, 1, 600_000);
    services.add(new ServiceRow(name, rank, idempotent, timeout));
  }

  private void checkBatchClass(SheetRow row) {
    String name = name(row, "class");
    int rank = number(row, SheetColumn.RANK, 0, 100);
    int share = number(row, SheetColumn.SHARE, 1, MAX_NUMBER);
    batchClasses.add(new BatchClassRow(name, rank, share));
  }

  private void checkPair(SheetRow row) {
    String service = row.cell(SheetColumn.SERVICE);
    String batchClass = row.cell(SheetColumn.BATCH_CLASS);
    checkUnique(row, "pair " + service + " " + batchClass);
    try {
      PairRow.Rule rule = PairRow.Rule.valueOf(row.cell(SheetColumn.RULE).toUpperCase(Locale.ROOT));
      pairs.add(new PairRow(service, batchClass, rule));
    } catch (IllegalArgumentException e) {
      error(row, SheetColumn.RULE, SheetError.Code.BAD_VALUE, "expected allow, throttle or apart");
    }
  }

  private void checkPairNames(SheetRow row) {
    String service = row.cell(SheetColumn.SERVICE);
    if (!declaredNames.contains("service " + service)) {
      error(row, SheetColumn.SERVICE, SheetError.Code.UNKNOWN_NAME, "no service " + service);
    }
    String batchClass = row.cell(SheetColumn.BATCH_CLASS);
    if (!declaredNames.contains("class " + batchClass)) {
      error(row, SheetColumn.BATCH_CLASS, SheetError.Code.UNKNOWN_NAME, "no class " + batchClass);
    }
  }

  private String name(SheetRow row, String kind) {
    String name = row.cell(SheetColumn.NAME);
    if (!NAME.matcher(name).matches()) {
      error(
          row,
          SheetColumn.NAME,
          SheetError.Code.BAD_VALUE,
          "expected 1 to 63 lower-case letters, digits and hyphens");
    }
    checkUnique(row, kind + " " + name);
    declaredNames.add(kind + " " + name);
    return name;
  }

  private void checkUnique(SheetRow row, String key) {
    if (!seen.add(key)) {
      errors.add(
          new SheetError(row.line(), "", SheetError.Code.DUPLICATE_ROW, "a second row " + key));
    }
  }

  private int number(SheetRow row, SheetColumn column, int min, int max) {
    String text = row.cell(column);
    if (text.isEmpty()) {
      error(row, column, SheetError.Code.MISSING_VALUE, "expected " + min + " to " + max);
      return min;
    }
    try {
      int value = Integer.parseInt(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below, like a value outside the range
    }
    error(row, column, SheetError.Code.BAD_VALUE, "expected " + min + " to " + max);
    return min;
  }

  private boolean yesOrNo(SheetRow row, SheetColumn column) {
    return switch (row.cell(column).toLowerCase(Locale.ROOT)) {
      case "yes", "true" -> true;
      case "no", "false" -> false;
      default -> {
        error(row, column, SheetError.Code.BAD_VALUE, "expected yes or no");
        yield false;
      }
    };
  }

  private void error(SheetRow row, SheetColumn column, SheetError.Code code, String detail) {
    if (!columns.contains(column)) {
      if (reportedMissing.add(column)) {
        errors.add(
            new SheetError(
                headerLine,
                column.header(),
                SheetError.Code.MISSING_COLUMN,
                "the column is missing; line " + row.line() + " needs it"));
      }
      return;
    }
    errors.add(new SheetError(row.line(), column.header(), code, detail));
  }
}
