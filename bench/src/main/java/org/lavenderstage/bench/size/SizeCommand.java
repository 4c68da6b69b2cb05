package org.lavenderstage.bench.size;

import java.io.PrintStream;

/** The command {@code bench size}: bytes of records and messages, and the cost of a large sheet. */
public final class SizeCommand {
  private static final int USAGE_ERROR = 2;
  private static final String USAGE =
      """
      usage: lavenderstage bench size
      prints bytes of records and messages, and times of a sheet of 20000 rows
      """;

  private SizeCommand() {}

  /**
   * Runs the measurement.
   *
   * @param arguments none, or the flag for help
   * @param out for the table
   * @param err for errors
   * @return exit code: 0, 2 for wrong flags
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
