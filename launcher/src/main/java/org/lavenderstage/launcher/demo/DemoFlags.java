package org.lavenderstage.launcher.demo;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Flags of {@code demo}. */
final class DemoFlags {
  @Parameter(names = "--seconds", description = "time for which callers send requests, in seconds")
  int seconds = 20;

  @Parameter(names = "--seed", description = "seed of arrivals and faults")
  long seed = 1;

  @Parameter(
      names = "--fault",
      description =
          "fault to inject in the middle third of the run: kill-entry, log-outage, lost-append-answers,"
              + " worker-fails-all or frozen-owner; may be given more than once")
  List<String> faults = new ArrayList<>();

  @Parameter(
      names = "--keep-running",
      description = "prints the addresses and tokens and runs until stopped")
  boolean keepRunning;

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
