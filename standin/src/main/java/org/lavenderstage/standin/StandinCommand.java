package org.lavenderstage.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.MediaType;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.executor.RunLedger;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLogServer;
import org.lavenderstage.standin.vmlist.FakeVmListServer;
import org.lavenderstage.standin.worker.FakeWorkerServer;
import org.lavenderstage.standin.worker.TaskLedger;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** Runs one fake as a process: {@code standin log | vmlist | worker | executor}. */
public final class StandinCommand {
  private static final int USAGE_ERROR = 2;

  private StandinCommand() {}

  /**
   * Runs a fake until the process is stopped.
   *
   * @param arguments kind of the fake, and its flags
   * @param out receives the address of the fake
   * @param err receives error messages
   * @return the exit code: 0 after help was printed, 2 for invalid flags
   * @throws InterruptedException where the main thread is interrupted
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err)
      throws InterruptedException {
    if (arguments.length == 0) {
      err.println("usage: lavenderstage standin log|vmlist|worker|executor [flags]");
      return USAGE_ERROR;
    }
    StandinFlags flags = new StandinFlags();
    JCommander commander =
        JCommander.newBuilder()
            .programName("lavenderstage standin " + arguments[0])
            .addObject(flags)
            .build();
    try {
      commander.parse(Arrays.copyOfRange(arguments, 1, arguments.length));
      if (flags.help) {
        commander.usage();
        return 0;
      }
      out.println(start(arguments[0], flags));
    } catch (ParameterException | IllegalArgumentException e) {
      err.println(e.getMessage());
      return USAGE_ERROR;
    }
    new CountDownLatch(1).await();
    return 0;
  }

  private static String start(String kind, StandinFlags flags) {
    FaultSwitch faults = new FaultSwitch();
    return switch (kind) {
      case "log" ->
          new FakeLogServer(flags.port, flags.retentionMillis, faults, flags.seed).address();
      case "vmlist" -> new FakeVmListServer(flags.port, faults).address();
      case "worker" -> {
        String address =
            new FakeWorkerServer(
                    flags.port, vm(flags, "", VmRole.WORKER), new TaskLedger(), faults, flags.seed)
                .address();
        yield register(flags, vm(flags, address, VmRole.WORKER));
      }
      case "executor" -> {
        String address =
            new FakeExecutorServer(
                    flags.port,
                    flags.slots,
                    flags.serviceMillis,
                    new RunLedger(),
                    faults,
                    flags.seed)
                .address();
        yield register(flags, vm(flags, address, VmRole.EXECUTOR));
      }
      default -> throw new IllegalArgumentException("no fake of the kind " + kind);
    };
  }

  private static VmEntry vm(StandinFlags flags, String address, VmRole role) {
    String service = role == VmRole.EXECUTOR ? flags.service : "";
    return new VmEntry(
        flags.id,
        address,
        flags.domain,
        flags.rack,
        role,
        false,
        flags.cpuMillis,
        flags.memoryMb,
        flags.accelerators,
        service);
  }

  private static String register(StandinFlags flags, VmEntry vm) {
    if (!flags.vmListAddress.isEmpty()) {
      WebClient.of("http://" + flags.vmListAddress)
          .execute(HttpRequest.of(HttpMethod.POST, "/vms", MediaType.JSON, JsonCodec.encode(vm)))
          .aggregate()
          .join();
    }
    return vm.address();
  }
}
