package org.lavenderstage.launcher;

import java.io.IOException;
import java.util.Arrays;
import org.lavenderstage.bench.BenchCommand;
import org.lavenderstage.ctl.CtlCommand;
import org.lavenderstage.entry.EntryCommand;
import org.lavenderstage.entry.job.ConfigurationCheckCommand;
import org.lavenderstage.launcher.demo.DemoCommand;
import org.lavenderstage.standin.StandinCommand;

/** Entry point of the executable: runs the program that the first argument names. */
public final class Lavenderstage {
  private static final int USAGE_ERROR = 2;
  private static final String USAGE =
      "usage: lavenderstage entry|ctl|configuration-check|standin|bench|demo [flags]; each takes --help";

  private Lavenderstage() {}

  /**
   * Runs one program and exits with its code.
   *
   * @param arguments the program and its flags
   * @throws InterruptedException where the main thread is interrupted
   * @throws IOException where a file of the demo cannot be read
   */
  public static void main(String[] arguments) throws InterruptedException, IOException {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) throws InterruptedException, IOException {
    String program = arguments.length == 0 ? "" : arguments[0];
    String[] rest = Arrays.copyOfRange(arguments, Math.min(1, arguments.length), arguments.length);
    return switch (program) {
      case "entry" -> EntryCommand.run(rest, System.getenv(), System.out, System.err);
      case "ctl" -> CtlCommand.run(rest, System.out, System.err);
      case "configuration-check" ->
          ConfigurationCheckCommand.run(rest, System.getenv(), System.out, System.err);
      case "standin" -> StandinCommand.run(rest, System.out, System.err);
      case "bench" -> BenchCommand.run(rest, System.out, System.err);
      case "demo" -> DemoCommand.run(rest, System.out, System.err);
      case "--help", "help" -> {
        System.out.println(USAGE);
        yield 0;
      }
      default -> {
        System.err.println(USAGE);
        yield USAGE_ERROR;
      }
    };
  }
}
