package org.lavenderstage.core.sheet;

import java.util.Arrays;
import java.util.Optional;

/** The columns of the operators' sheet; a sheet may hold them in any order. */
public enum SheetColumn {
  /** What the row is about: workspace, service, class or pair. */
  KIND("kind"),
  /** Name of the workspace, service or batch class. */
  NAME("name"),
  /** Rank; a lower number is served first. */
  RANK("rank"),
  /** Weight among rows of the same rank. */
  SHARE("share"),
  /** Quota of processors in thousandths of a core. */
  QUOTA_CPU("quota-cpu-millis"),
  /** Quota of memory in mebibytes. */
  QUOTA_MEMORY("quota-memory-mb"),
  /** Quota of accelerators. */
  QUOTA_ACCELERATORS("quota-accelerators"),
  /** SHA-256 of a workspace's bearer token. */
  TOKEN("token-sha256"),
  /** Whether a service is idempotent: yes or no. */
  IDEMPOTENT("idempotent"),
  /** Longest time for a request of a service in milliseconds. */
  TIMEOUT("timeout-millis"),
  /** Service of a pair rule. */
  SERVICE("service"),
  /** Batch class of a pair rule. */
  BATCH_CLASS("batch-class"),
  /** What a pair rule says: allow, throttle or apart. */
  RULE("rule");

  private final String header;

  SheetColumn(String header) {
    this.header = header;
  }

  /**
   * Returns the column's name in the first line.
   *
   * @return the name
   */
  public String header() {
    return header;
  }

  /**
   * Finds a column by its name in the first line.
   *
   * @param header the name; case and surrounding blanks do not count
   * @return the column, empty where there is none of that name
   */
  public static Optional<SheetColumn> of(String header) {
    String wanted = header.strip();
    return Arrays.stream(values())
        .filter(column -> column.header.equalsIgnoreCase(wanted))
        .findFirst();
  }
}
