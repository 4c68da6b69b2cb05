package org.lavenderstage.entry.job;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.configuration.ConfigurationCheck;
import org.lavenderstage.core.configuration.ConfigurationDifference;
import org.lavenderstage.core.configuration.ConfigurationDraft;
import org.lavenderstage.core.configuration.ConfigurationFinding;
import org.lavenderstage.http.EventLoops;
import org.lavenderstage.platform.ConfigurationDecoder;
import org.lavenderstage.platform.ConfigurationDraftDecoder;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.PlatformHttp;
import org.lavenderstage.platform.PlatformStore;
import org.lavenderstage.wire.settings.ConfigurationCheckSettings;
import org.lavenderstage.wire.settings.SettingRule;
import org.lavenderstage.wire.settings.SettingsHelp;
import org.lavenderstage.wire.settings.SettingsReader;

/** Checks a configuration of the queues before it is sent. Only reads; nothing is published. */
public final class ConfigurationCheckCommand {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;
  private static final String NAME = "lavenderstage configuration-check FILE";

  /** Nothing is appended here, so the store's limits for appends do not matter. */
  private static final NodeSettings.StoreLimits NO_APPENDS = new NodeSettings.StoreLimits(0, 0);

  private final PrintStream out;
  private final PrintStream err;

  private ConfigurationCheckCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command.
   *
   * @param arguments the file and the flags
   * @param environment environment variables
   * @param out receives warnings, differences and the result
   * @param err receives errors
   * @return the exit code: 0 without errors, 1 with errors, 2 for invalid flags
   */
  public static int run(
      String[] arguments, Map<String, String> environment, PrintStream out, PrintStream err) {
    List<String> words = new ArrayList<>(Arrays.asList(arguments));
    if (!words.isEmpty() && !words.get(0).startsWith("--")) {
      words.add(0, "--draft");
    }
    var flags = new ConfigurationCheckSettings.Flags();
    var values = SettingsReader.parse(flags, words.toArray(new String[0]), environment);
    if (values.isLeft()) {
      values.getLeft().forEach(err::println);
      return USAGE_ERROR;
    }
    if (flags.help()) {
      out.print(SettingsHelp.text(NAME, flags.specs()));
      return 0;
    }
    try {
      return new ConfigurationCheckCommand(out, err)
          .check(ConfigurationCheckSettings.of(values.get()));
    } catch (IOException e) {
      err.println("cannot read " + e.getMessage());
    } catch (PlatformUnavailableException e) {
      err.println("no answer: " + e.getMessage());
    }
    return FAILED;
  }

  private int check(ConfigurationCheckSettings settings)
      throws IOException, PlatformUnavailableException {
    boolean hasFile = !settings.inForce().equals(SettingRule.NONE);
    boolean hasStore = !settings.storeAddress().equals(SettingRule.NONE);
    if (hasFile && hasStore) {
      err.println("--in-force and --store-address exclude each other");
      return USAGE_ERROR;
    }
    var decoded = ConfigurationDraftDecoder.decode(Files.readAllBytes(Path.of(settings.draft())));
    Optional<ConfigurationDraft> inForce = Optional.empty();
    if (hasFile) {
      inForce = Optional.of(inForce(Files.readAllBytes(Path.of(settings.inForce()))));
    } else if (hasStore) {
      Optional<byte[]> stored = read(settings.storeAddress());
      if (stored.isPresent()) {
        inForce = Optional.of(inForce(stored.get()));
      }
    }
    List<ConfigurationFinding> findings = new ArrayList<>(decoded.findings());
    if (decoded.draft().isPresent()) {
      OptionalLong version =
          inForce.map(known -> OptionalLong.of(known.version())).orElse(OptionalLong.empty());
      findings.addAll(ConfigurationCheck.findings(decoded.draft().get(), version));
    }
    findings.forEach(finding -> (finding.code().isError() ? err : out).println(finding));
    if (decoded.draft().isPresent() && inForce.isPresent()) {
      ConfigurationDifference.lines(inForce.get(), decoded.draft().get()).forEach(out::println);
    } else if (hasStore && inForce.isEmpty()) {
      out.println("the store holds no configuration yet");
    }
    long errors = findings.stream().filter(finding -> finding.code().isError()).count();
    out.println(errors == 0 ? "ok" : errors + " errors");
    return errors == 0 ? 0 : FAILED;
  }

  /** Decodes the version in force; its defects are not reported. */
  private static ConfigurationDraft inForce(byte[] json) throws IOException {
    return ConfigurationDraftDecoder.decode(json)
        .draft()
        .orElseThrow(() -> new IOException("the version in force: expected JSON"));
  }

  /** Reads the configuration in force from the store, empty if there is none. */
  private static Optional<byte[]> read(String address) throws PlatformUnavailableException {
    EventLoopGroup loops = EventLoops.create("check");
    try (PlatformHttp http = new PlatformHttp(loops)) {
      KeyedLog store = new PlatformStore(http, address, NO_APPENDS);
      Optional<String> after = Optional.empty();
      while (true) {
        switch (store.newest(LogTopic.CONFIGURATION, after).join()) {
          case KeyedLog.Newest.Failed failed ->
              throw new PlatformUnavailableException(
                  "the store at " + address + ": " + failed.cause(), null);
          case KeyedLog.Newest.Page page -> {
            List<KeyedRecord> records = page.records();
            Optional<KeyedRecord> found =
                records.stream().filter(ConfigurationDecoder::isConfiguration).findFirst();
            if (found.isPresent() || !page.more() || records.isEmpty()) {
              return found.flatMap(KeyedRecord::value);
            }
            after = Optional.of(records.get(records.size() - 1).key());
          }
        }
      }
    } finally {
      EventLoops.shutDown(loops);
    }
  }
}
