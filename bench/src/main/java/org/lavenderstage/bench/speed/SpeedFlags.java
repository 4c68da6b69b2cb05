package org.lavenderstage.bench.speed;

import com.beust.jcommander.Parameter;

/** Flags of {@code bench core}. */
final class SpeedFlags {
  @Parameter(names = "--repeats", description = "number of measured repeats")
  int repeats = 7;

  @Parameter(names = "--json", description = "file to which the table is written as JSON")
  String json = "";

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
