package org.lavenderstage.launcher.demo;

import com.beust.jcommander.JCommander;
import java.util.Map;
import org.lavenderstage.wire.settings.EntrySettings;
import org.lavenderstage.wire.settings.SettingsReader;

/** Creates the settings of the demo's entries: the defaults, but free ports and short leases. */
final class DemoSettings {
  private DemoSettings() {}

  static EntrySettings of(
      String vm, String domain, String logAddress, String vmListAddress, String cells) {
    EntrySettings.Flags flags = new EntrySettings.Flags();
    JCommander.newBuilder()
        .addObject(flags)
        .build()
        .parse(
            "--vm",
            vm,
            "--domain",
            domain,
            "--http-port",
            "0",
            "--admin-port",
            "0",
            "--peer-port",
            "0",
            "--log-address",
            logAddress,
            "--vm-list-address",
            vmListAddress,
            "--cells",
            cells,
            "--cell-lease-millis",
            "2000",
            "--worker-lease-millis",
            "3000");
    return EntrySettings.of(SettingsReader.read(flags, Map.of()).get());
  }
}
