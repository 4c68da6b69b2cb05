package org.lavenderstage.bench.speed;

import com.beust.jcommander.Parameter;

/** Flags of {@code bench core}. */
final class SpeedFlags {
  @Parameter(names = "--repeats", description = "count of measured repeats")
  int repeats = 7;

  @Parameter(names = "--json", description = "file that the table is written to as JSON")
  String json = "";

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
