package org.lavenderstage.standin;

import com.beust.jcommander.Parameter;

/** Flags of {@code standin}; each fake takes those that it needs. */
final class StandinFlags {
  @Parameter(names = "--port", description = "port; 0 takes a free one")
  int port;

  @Parameter(names = "--id", description = "identifier of the worker's or executor's VM")
  String id = "vm-1";

  @Parameter(names = "--domain", description = "failure domain")
  String domain = "domain-a";

  @Parameter(names = "--rack", description = "rack")
  String rack = "rack-1";

  @Parameter(names = "--service", description = "service that the executor serves")
  String service = "kit-plans";

  @Parameter(names = "--cpu-millis", description = "processors in thousandths of a core")
  int cpuMillis = 32_000;

  @Parameter(names = "--memory-mb", description = "memory in mebibytes")
  int memoryMb = 128_000;

  @Parameter(names = "--accelerators", description = "count of accelerators")
  int accelerators;

  @Parameter(names = "--slots", description = "slots of the executor")
  int slots = 8;

  @Parameter(names = "--service-millis", description = "time of a request in milliseconds")
  int serviceMillis = 5;

  @Parameter(names = "--retention-millis", description = "retention of the log in milliseconds")
  long retentionMillis = 3_600_000;

  @Parameter(names = "--seed", description = "seed of the faults")
  long seed = 1;

  @Parameter(
      names = "--vm-list-address",
      description = "list that a worker or executor adds itself to")
  String vmListAddress = "";

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
