package org.lavenderstage.wire.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
  @Test
  void allErrorsAreReportedAtOnce() {
    String[] arguments = {
      "--vm",
      "entry 1",
      "--nonsense",
      "x",
      "--http-port",
      "70000",
      "--ring-size",
      "1000",
      "--cells",
      "a,a",
      "--log-address",
      "--domain",
      "a",
      "--domain",
      "b",
      "--log-format",
      "xml"
    };
    var result =
        SettingsReader.parse(
            new EntrySettings.Flags(),
            arguments,
            Map.of("LAVENDERSTAGE_ADMIN_PORT", "high", "LAVENDERSTAGE_HOST", "somewhere"));
    Approvals.verify(
        String.join("\n", result.getLeft().stream().map(Object::toString).toList()) + "\n");
  }

  @Test
  void theHelpShowsDefaultRangeAndVariable() {
    Approvals.verify(
        SettingsHelp.text("lavenderstage ctl sheet publish", SheetPublishSettings.SPECS));
  }

  @Test
  void aFlagOverridesAVariableAndAVariableTheDefault() {
    String[] arguments = {"--entry", "127.0.0.1:81", "--workspace", "builders"};
    var result =
        SettingsReader.parse(
            new JobStatusSettings.Flags(),
            arguments,
            Map.of(
                "LAVENDERSTAGE_ENTRY", "127.0.0.1:82",
                "LAVENDERSTAGE_TOKEN", "secret",
                "LAVENDERSTAGE_JOB", "job-1"));
    JobStatusSettings settings = JobStatusSettings.of(result.get());
    assertEquals("127.0.0.1:81", settings.entry());
    assertEquals("job-1", settings.job());
  }

  @Test
  void helpNeedsNoOtherSetting() {
    EntrySettings.Flags flags = new EntrySettings.Flags();
    String[] arguments = {"--help"};
    assertTrue(SettingsReader.parse(flags, arguments, Map.of()).isRight());
    assertTrue(flags.help());
  }

  @Test
  void rulesRejectInvalidValues() {
    for (String invalid : List.of("", "host", "host:", ":80", "host:0", "host:65536", "a b:80")) {
      assertFalse(SettingRule.ADDRESS.allows(invalid), invalid);
    }
    for (String invalid : List.of("", "256.0.0.1", "1.2.3", "1.2.3.4.5", "1.2.3.4.")) {
      assertFalse(SettingRule.HOST.allows(invalid), invalid);
    }
    assertTrue(SettingRule.HOST.allows("10.0.255.1"));
    assertTrue(SettingRule.ADDRESSES.allows("10.0.0.1:80,10.0.0.2:80"));
    assertFalse(SettingRule.ADDRESSES.allows("10.0.0.1:80,10.0.0.1:80"));
  }
}
