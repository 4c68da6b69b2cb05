package org.lavenderstage.bench;

import com.beust.jcommander.Parameter;

/** Flags of {@code bench policy}. */
final class PolicyFlags {
  @Parameter(names = "--scenario", description = "number of a scenario, or all")
  String scenario = "all";

  @Parameter(names = "--seed", description = "first seed")
  long seed = 1;

  @Parameter(names = "--seeds", description = "number of seeds")
  int seeds = 3;

  @Parameter(names = "--json", description = "file to which the table is written as JSON")
  String json = "";

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
