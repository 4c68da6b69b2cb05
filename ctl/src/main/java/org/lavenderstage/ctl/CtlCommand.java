package org.lavenderstage.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.CharacterCodingException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.settings.EntriesSettings;
import org.lavenderstage.wire.settings.EntryAdminSettings;
import org.lavenderstage.wire.settings.JobStatusSettings;
import org.lavenderstage.wire.settings.SettingError;
import org.lavenderstage.wire.settings.SettingFlags;
import org.lavenderstage.wire.settings.SettingValues;
import org.lavenderstage.wire.settings.SettingsHelp;
import org.lavenderstage.wire.settings.SettingsReader;
import org.lavenderstage.wire.settings.SheetCheckSettings;
import org.lavenderstage.wire.settings.SheetPublishSettings;

/** Entry point of the operators' command line: selects a command and runs it. */
public final class CtlCommand {
  /** Exit code of a command that failed or was rejected. */
  static final int FAILED = 1;

  /** Exit code for invalid flags or environment variables. */
  static final int USAGE_ERROR = 2;

  private static final List<String> COMMANDS_WITH_WAIT = List.of("sheet publish", "drain");
  private static final String PROGRAM = "lavenderstage ctl ";
  private static final String USAGE =
      """
      usage: lavenderstage ctl COMMAND [flags]; each command takes --help
        sheet check FILE      reports all errors in a sheet
        sheet publish FILE    publishes a sheet; --wait waits until it is in force everywhere
        sheet status          shows the version of each live entry
        job status            shows the state of a job
        state                 prints the state of an entry as JSON
        drain                 makes an entry unready; --wait waits until it is idle
      exit codes: 0 done, 1 failed or refused, 2 wrong flags or variables
      """;

  private final PrintStream out;
  private final PrintStream err;
  private final Map<String, String> environment;
  private final boolean wait;

  private CtlCommand(
      PrintStream out, PrintStream err, Map<String, String> environment, boolean wait) {
    this.out = out;
    this.err = err;
    this.environment = environment;
    this.wait = wait;
  }

  /**
   * Runs one command, with the environment variables of this process.
   *
   * @param arguments the command and its flags
   * @param out receives the results
   * @param err receives error messages
   * @return the exit code: 0 on success, 1 if the command failed, 2 for invalid flags
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err) {
    return run(arguments, System.getenv(), out, err);
  }

  static int run(
      String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    List<String> words = new ArrayList<>(Arrays.asList(arguments));
    String name = String.join(" ", words.subList(0, Math.min(2, words.size())));
    boolean wait = COMMANDS_WITH_WAIT.stream().anyMatch(name::startsWith) && words.remove("--wait");
    try {
      return new CtlCommand(out, err, environment, wait).dispatch(words);
    } catch (CharacterCodingException e) {
      err.println("the file is not UTF-8; export it as CSV in UTF-8");
    } catch (IOException e) {
      err.println("cannot read " + e.getMessage());
    } catch (PlatformUnavailableException e) {
      err.println("no answer: " + e.getMessage());
    }
    return FAILED;
  }

  private int dispatch(List<String> words) throws IOException, PlatformUnavailableException {
    String first = words.isEmpty() ? "" : words.get(0);
    boolean grouped = first.equals("sheet") || first.equals("job");
    int nameWords = Math.min(words.size(), grouped ? 2 : 1);
    List<String> rest = words.subList(nameWords, words.size());
    return switch (String.join(" ", words.subList(0, nameWords))) {
      case "sheet check" -> sheetCheck(withSheetFlag(rest));
      case "sheet publish" -> sheetPublish(withSheetFlag(rest));
      case "sheet status" -> sheetStatus(rest);
      case "job status" -> jobStatus(rest);
      case "state" -> state(rest);
      case "drain" -> drain(rest);
      case "--help", "help" -> {
        out.print(USAGE);
        yield 0;
      }
      default -> {
        err.print(USAGE);
        yield USAGE_ERROR;
      }
    };
  }

  /** Inserts the {@code --sheet} flag if the file is given without it. */
  private static List<String> withSheetFlag(List<String> words) {
    List<String> rest = new ArrayList<>(words);
    if (!rest.isEmpty() && !rest.get(0).startsWith("--")) {
      rest.add(0, "--sheet");
    }
    return rest;
  }

  private int sheetCheck(List<String> words) throws IOException {
    Either<Integer, SheetCheckSettings> settings =
        settings("sheet check", new SheetCheckSettings.Flags(), words, SheetCheckSettings::of);
    return settings.isLeft()
        ? settings.getLeft()
        : new SheetCommands(out, err).check(settings.get());
  }

  private int sheetPublish(List<String> words) throws IOException, PlatformUnavailableException {
    Either<Integer, SheetPublishSettings> settings =
        settings(
            "sheet publish", new SheetPublishSettings.Flags(), words, SheetPublishSettings::of);
    return settings.isLeft()
        ? settings.getLeft()
        : new SheetCommands(out, err).publish(settings.get(), wait);
  }

  private int sheetStatus(List<String> words) {
    Either<Integer, EntriesSettings> settings =
        settings("sheet status", new EntriesSettings.Flags(), words, EntriesSettings::of);
    return settings.isLeft()
        ? settings.getLeft()
        : new SheetCommands(out, err).status(settings.get().entries());
  }

  private int jobStatus(List<String> words) throws PlatformUnavailableException {
    Either<Integer, JobStatusSettings> settings =
        settings("job status", new JobStatusSettings.Flags(), words, JobStatusSettings::of);
    if (settings.isLeft()) {
      return settings.getLeft();
    }
    JobStatusSettings job = settings.get();
    out.println(new EntryClient(job.entry()).job(job.workspace(), job.token(), job.job()));
    return 0;
  }

  private int state(List<String> words) throws PlatformUnavailableException {
    Either<Integer, EntryAdminSettings> settings =
        settings("state", new EntryAdminSettings.Flags(), words, EntryAdminSettings::of);
    if (settings.isLeft()) {
      return settings.getLeft();
    }
    out.println(new EntryClient(settings.get().entry()).dump());
    return 0;
  }

  private int drain(List<String> words) throws PlatformUnavailableException {
    Either<Integer, EntryAdminSettings> settings =
        settings("drain", new EntryAdminSettings.Flags(), words, EntryAdminSettings::of);
    return settings.isLeft()
        ? settings.getLeft()
        : new DrainCommand(out, err).run(new EntryClient(settings.get().entry()), wait);
  }

  /**
   * Parses the settings of a command. A left value is the exit code, after help or errors have been
   * printed.
   */
  private <T> Either<Integer, T> settings(
      String name, SettingFlags flags, List<String> words, Function<SettingValues, T> build) {
    Either<List<SettingError>, SettingValues> values =
        SettingsReader.parse(flags, words.toArray(new String[0]), environment);
    if (values.isLeft()) {
      values.getLeft().forEach(err::println);
      return Either.left(USAGE_ERROR);
    }
    if (flags.help()) {
      out.print(SettingsHelp.text(PROGRAM + name, flags.specs()));
      if (COMMANDS_WITH_WAIT.contains(name)) {
        out.println(
            "with --wait, a flag without a value, the command returns when its work is complete");
      }
      return Either.left(0);
    }
    return Either.right(build.apply(values.get()));
  }
}
