package org.lavenderstage.standin;

import com.beust.jcommander.Parameter;

/** Flags of {@code standin}; each fake uses those that apply to it. */
final class StandinFlags {
  @Parameter(names = "--port", description = "port, 0 for any free port")
  int port;

  @Parameter(names = "--id", description = "identifier of the worker's or executor's VM")
  String id = "vm-1";

  @Parameter(names = "--domain", description = "failure domain")
  String domain = "domain-a";

  @Parameter(names = "--rack", description = "rack")
  String rack = "rack-1";

  @Parameter(names = "--service", description = "service that the executor serves")
  String service = "kit-plans";

  @Parameter(names = "--cpu-millis", description = "CPU in thousandths of a core")
  int cpuMillis = 32_000;

  @Parameter(names = "--memory-mb", description = "memory in mebibytes")
  int memoryMb = 128_000;

  @Parameter(names = "--accelerators", description = "number of accelerators")
  int accelerators;

  @Parameter(names = "--slots", description = "number of slots of the executor")
  int slots = 8;

  @Parameter(names = "--service-millis", description = "service time of a request in milliseconds")
  int serviceMillis = 5;

  @Parameter(names = "--retention-millis", description = "retention of the log in milliseconds")
  long retentionMillis = 3_600_000;

  @Parameter(names = "--seed", description = "seed that selects the calls with faults")
  long seed = 1;

  @Parameter(
      names = "--vm-list-address",
      description = "address of the VM list in which the worker or executor registers")
  String vmListAddress = "";

  @Parameter(names = "--help", help = true, description = "prints the flags")
  boolean help;
}
