package org.lavenderstage.ctl;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.core.sheet.SheetCheck;
import org.lavenderstage.core.sheet.SheetVersion;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.settings.SettingRule;
import org.lavenderstage.wire.settings.SheetCheckSettings;
import org.lavenderstage.wire.settings.SheetPublishSettings;

/** Implements {@code sheet check}, {@code sheet publish} and {@code sheet status}. */
final class SheetCommands {
  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(8);
  private static final long POLL_MILLIS = 50;

  private final PrintStream out;
  private final PrintStream err;

  SheetCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  int check(SheetCheckSettings settings) throws IOException {
    SheetCheck check = SheetReader.read(Files.readString(Path.of(settings.sheet())));
    check.errors().forEach(err::println);
    check.sheet().ifPresent(sheet -> out.println("ok, " + sheet.size() + " rows"));
    if (check.sheet().isEmpty()) {
      err.println(check.errors().size() + " errors");
    }
    return check.sheet().isPresent() ? 0 : CtlCommand.FAILED;
  }

  int publish(SheetPublishSettings settings, boolean wait)
      throws IOException, PlatformUnavailableException {
    boolean hasEntries = !settings.entries().equals(SettingRule.NONE);
    if (wait && !hasEntries) {
      err.println("--wait needs --entries (variable LAVENDERSTAGE_ENTRIES)");
      return CtlCommand.USAGE_ERROR;
    }
    String text = Files.readString(Path.of(settings.sheet()));
    SheetPublisher publisher =
        new SheetPublisher(new HttpLog(settings.logAddress(), LOG_TIMEOUT), err::println);
    Either<List<String>, SheetVersion> result;
    try {
      result = publisher.publish(text, settings.base(), settings.operator());
    } catch (PlatformUnavailableException e) {
      err.println("the log gave no answer: " + e.getMessage());
      err.println("the sheet may still take effect: compare `sheet status` before the next try");
      return CtlCommand.FAILED;
    }
    if (result.isLeft()) {
      result.getLeft().forEach(err::println);
      return CtlCommand.FAILED;
    }
    long version = result.get().version();
    out.println("version " + version + " is committed");
    return wait ? awaitInForce(settings.entries(), version) : 0;
  }

  private int awaitInForce(String entries, long version) {
    long deadlineNanos = System.nanoTime() + IN_FORCE_TIMEOUT.toNanos();
    TreeMap<String, EntryClient> pending = new TreeMap<>();
    clients(entries).forEach(client -> pending.put(client.address(), client));
    while (!pending.isEmpty() && System.nanoTime() < deadlineNanos) {
      pending.values().removeIf(client -> hasVersion(client, version));
      if (!pending.isEmpty() && !pause()) {
        break;
      }
    }
    if (pending.isEmpty()) {
      out.println("version " + version + " is in force on every entry");
      return 0;
    }
    err.println(
        "version "
            + version
            + " is committed but not in force after "
            + IN_FORCE_TIMEOUT.toSeconds()
            + " s on "
            + String.join(", ", pending.keySet()));
    return CtlCommand.FAILED;
  }

  private static boolean hasVersion(EntryClient client, long version) {
    try {
      return client.view().sheetVersion() >= version;
    } catch (PlatformUnavailableException e) {
      return false;
    }
  }

  private static boolean pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  int status(String entries) {
    int result = 0;
    for (EntryClient client : clients(entries)) {
      try {
        EntryView view = client.view();
        out.println(
            client.address()
                + " "
                + view.vm()
                + " version "
                + view.sheetVersion()
                + (view.ready() ? " ready" : " unready")
                + (view.draining() ? " draining" : ""));
      } catch (PlatformUnavailableException e) {
        err.println(e.getMessage());
        result = CtlCommand.FAILED;
      }
    }
    return result;
  }

  private static List<EntryClient> clients(String entries) {
    return Arrays.stream(entries.split(",", -1)).map(String::strip).map(EntryClient::new).toList();
  }
}
