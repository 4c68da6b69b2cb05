package org.lavenderstage.bench.size;

import java.io.PrintStream;

/** Implements {@code bench size}: sizes of records and messages, and times for a large sheet. */
public final class SizeCommand {
  private static final int USAGE_ERROR = 2;
  private static final String USAGE =
      """
      usage: lavenderstage bench size
      prints sizes of records and messages in bytes, and times for a sheet of 20000 rows
      """;

  private SizeCommand() {}

  /**
   * Runs the measurements.
   *
   * @param arguments empty, or the help flag
   * @param out receives the table of results
   * @param err receives error messages
   * @return the exit code: 0 on success, 2 for invalid flags
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err) {
    if (arguments.length == 0) {
      RecordSizes.print(out);
      SheetCost.print(out);
      return 0;
    }
    boolean help = arguments.length == 1 && arguments[0].equals("--help");
    (help ? out : err).print(USAGE);
    return help ? 0 : USAGE_ERROR;
  }
}
