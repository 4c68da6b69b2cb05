package org.lavenderstage.core.configuration;

/**
 * A defect of a configuration.
 *
 * @param code code of the defect
 * @param entry the entry concerned, such as {@code route r-1}
 * @param detail what was expected and what was found
 */
public record ConfigurationFinding(Code code, String entry, String detail) {
  /** Codes of the defects; docs/RESULTS.md has a row for each. */
  public enum Code {
    /** A file that is not a configuration. */
    UNREADABLE(7101, true),
    /** A field that is required or has a wrong type. */
    BAD_FIELD(7102, true),
    /** A value outside its range. */
    OUT_OF_RANGE(7103, true),
    /** A second entry with the same name. */
    DUPLICATE_NAME(7104, true),
    /** A route to a service that is not declared. */
    UNKNOWN_SERVICE(7105, true),
    /** A version that is not newer than the one in force. */
    OUTDATED_VERSION(7106, true),
    /** A route that no request can match. */
    NEVER_MATCHES(7107, true),
    /** Limits of which one makes another ineffective. */
    CONTRADICTING_LIMITS(7108, true),
    /** A route that takes some of the jobs of another one. */
    PARTLY_HIDDEN(7109, false),
    /** A service that no route uses. */
    UNUSED_SERVICE(7110, false),
    /** A field that this version of the program does not know. */
    UNKNOWN_FIELD(7111, false);

    private final int number;
    private final boolean error;

    Code(int number, boolean error) {
      this.number = number;
      this.error = error;
    }

    /**
     * Returns the code as it appears in messages and documentation.
     *
     * @return the code, such as {@code LS-7101}
     */
    public String label() {
      return "LS-" + number;
    }

    /**
     * Returns whether a configuration with such a defect should not be published.
     *
     * @return true for an error, false for a warning
     */
    public boolean isError() {
      return error;
    }
  }

  @Override
  public String toString() {
    return (code.isError() ? "error" : "warning")
        + ": "
        + entry
        + ": "
        + code.label()
        + " "
        + detail;
  }
}
