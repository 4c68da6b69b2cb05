package org.lavenderstage.ctl;

import com.beust.jcommander.Parameter;

/** Flags of {@code ctl sheet publish}. */
final class SheetPublishCommand {
  @Parameter(names = "--file", required = true, description = "the sheet's CSV")
  String file;

  @Parameter(names = "--base", description = "version that the sheet was made from")
  long base;

  @Parameter(names = "--operator", description = "who publishes")
  String operator = "operator";

  @Parameter(names = "--log-address", required = true, description = "host and port of the log")
  String logAddress;

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
