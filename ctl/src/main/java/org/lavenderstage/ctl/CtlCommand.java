package org.lavenderstage.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.platform.PlatformUnavailableException;
import org.lavenderstage.platform.http.HttpLog;
import org.lavenderstage.wire.csv.SheetReader;

/** The operators' commands: {@code sheet check} and {@code sheet publish}. */
public final class CtlCommand {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final String USAGE =
      "usage: lavenderstage ctl sheet check FILE\n"
          + "       lavenderstage ctl sheet publish --file FILE --base VERSION --log-address A";

  private CtlCommand() {}

  /**
   * Runs one command.
   *
   * @param arguments the command and its flags
   * @param out for results
   * @param err for errors
   * @return exit code: 0, 1 where the command failed, 2 for wrong flags
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err) {
    List<String> words = Arrays.asList(arguments);
    try {
      if (words.size() == 3 && words.subList(0, 2).equals(List.of("sheet", "check"))) {
        return check(Path.of(words.get(2)), out, err);
      }
      if (words.size() >= 2 && words.subList(0, 2).equals(List.of("sheet", "publish"))) {
        return publish(words.subList(2, words.size()), out, err);
      }
    } catch (IOException e) {
      err.println("cannot read " + e.getMessage());
      return FAILED;
    } catch (PlatformUnavailableException e) {
      err.println("the log gave no answer: " + e.getMessage());
      return FAILED;
    }
    err.println(USAGE);
    return USAGE_ERROR;
  }

  private static int check(Path file, PrintStream out, PrintStream err) throws IOException {
    SheetCheck check = SheetReader.read(Files.readString(file));
    check.errors().forEach(err::println);
    check.sheet().ifPresent(sheet -> out.println("ok, " + sheet.size() + " rows"));
    return check.sheet().isPresent() ? 0 : FAILED;
  }

  private static int publish(List<String> arguments, PrintStream out, PrintStream err)
      throws IOException, PlatformUnavailableException {
    SheetPublishCommand flags = new SheetPublishCommand();
    JCommander commander =
        JCommander.newBuilder()
            .programName("lavenderstage ctl sheet publish")
            .addObject(flags)
            .build();
    try {
      commander.parse(arguments.toArray(new String[0]));
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return USAGE_ERROR;
    }
    if (flags.help) {
      commander.usage();
      return 0;
    }
    SheetPublisher publisher = new SheetPublisher(new HttpLog(flags.logAddress, TIMEOUT));
    Either<List<String>, SheetVersion> result =
        publisher.publish(Files.readString(Path.of(flags.file)), flags.base, flags.operator);
    result.peekLeft(reasons -> reasons.forEach(err::println));
    result.peek(version -> out.println("version " + version.version() + " is committed"));
    return result.isRight() ? 0 : FAILED;
  }
}
