package org.lavenderstage.core.sheet;

import java.util.Arrays;
import java.util.Optional;

/** The columns of the operators' sheet, which may appear in any order. */
public enum SheetColumn {
  /** Kind of the row: workspace, service, class or pair. */
  KIND("kind"),
  /** Name of the workspace, service or batch class. */
  NAME("name"),
  /** Rank; a lower rank is served first. */
  RANK("rank"),
  /** Weight among rows of the same rank. */
  SHARE("share"),
  /** CPU quota in thousandths of a core. */
  QUOTA_CPU("quota-cpu-millis"),
  /** Memory quota in mebibytes. */
  QUOTA_MEMORY("quota-memory-mb"),
  /** Quota of accelerators, as a count. */
  QUOTA_ACCELERATORS("quota-accelerators"),
  /** SHA-256 of a workspace's bearer token. */
  TOKEN("token-sha256"),
  /** Whether a service is idempotent: yes or no. */
  IDEMPOTENT("idempotent"),
  /** Maximum duration of a request to a service in milliseconds. */
  TIMEOUT("timeout-millis"),
  /** Service of a pair rule. */
  SERVICE("service"),
  /** Batch class of a pair rule. */
  BATCH_CLASS("batch-class"),
  /** Rule for a pair: allow, throttle or apart. */
  RULE("rule");

  private final String header;

  SheetColumn(String header) {
    this.header = header;
  }

  /**
   * Returns the column's name in the header line.
   *
   * @return the name
   */
  public String header() {
    return header;
  }

  /**
   * Finds a column by its name in the header line.
   *
   * @param header the name; case and surrounding white space are ignored
   * @return the column, empty if there is none of that name
   */
  public static Optional<SheetColumn> of(String header) {
    String wanted = header.strip();
    return Arrays.stream(values())
        .filter(column -> column.header.equalsIgnoreCase(wanted))
        .findFirst();
  }
}
