package org.lavenderstage.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.lavenderstage.bench.load.LoadCommand;
import org.lavenderstage.bench.policy.PolicyBench;
import org.lavenderstage.bench.policy.ResultRow;
import org.lavenderstage.bench.policy.Scenario;
import org.lavenderstage.bench.request.RequestScenarios;
import org.lavenderstage.bench.size.SizeCommand;
import org.lavenderstage.bench.speed.SpeedBench;
import org.lavenderstage.bench.task.TaskScenarios;
import org.lavenderstage.wire.codec.JsonCodec;

/**
 * Entry point of the benchmarks: {@code bench policy}, {@code bench core}, {@code bench load} and
 * {@code bench size}.
 */
public final class BenchCommand {
  private static final int USAGE_ERROR = 2;

  private BenchCommand() {}

  /**
   * Runs a benchmark.
   *
   * @param arguments name of the benchmark, and its flags
   * @param out receives the table of results
   * @param err receives error messages
   * @return the exit code: 0 on success, 2 for invalid flags
   * @throws IOException where the JSON cannot be written
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
    String kind = arguments.length == 0 ? "" : arguments[0];
    String[] rest = Arrays.copyOfRange(arguments, Math.min(1, arguments.length), arguments.length);
    return switch (kind) {
      case "policy" -> policy(rest, out, err);
      case "size" -> SizeCommand.run(rest, out, err);
      case "load" -> LoadCommand.run(rest, System.getenv(), out, err);
      case "core" -> SpeedBench.run(rest, out, err);
      default -> {
        err.println("usage: lavenderstage bench policy|core|load|size [flags]; each takes --help");
        yield USAGE_ERROR;
      }
    };
  }

  private static int policy(String[] arguments, PrintStream out, PrintStream err)
      throws IOException {
    PolicyFlags flags = new PolicyFlags();
    JCommander commander =
        JCommander.newBuilder().programName("lavenderstage bench policy").addObject(flags).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return USAGE_ERROR;
    }
    if (flags.help) {
      commander.usage();
      return 0;
    }
    List<ResultRow> rows = new ArrayList<>();
    for (Scenario scenario : chosen(flags.scenario)) {
      List<ResultRow> part = PolicyBench.run(scenario, flags.seed, flags.seeds);
      part.forEach(out::println);
      rows.addAll(part);
    }
    if (!flags.json.isEmpty()) {
      Files.write(Path.of(flags.json), JsonCodec.encode(rows));
    }
    return 0;
  }

  private static List<Scenario> chosen(String number) {
    return Stream.concat(RequestScenarios.all().stream(), TaskScenarios.all().stream())
        .filter(
            scenario -> number.equals("all") || number.equals(String.valueOf(scenario.number())))
        .sorted(Comparator.comparingInt(Scenario::number))
        .toList();
  }
}
