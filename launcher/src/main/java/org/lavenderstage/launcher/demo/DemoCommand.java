package org.lavenderstage.launcher.demo;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.core.outcome.Outcome;
import org.lavenderstage.wire.codec.JsonCodec;

/**
 * Runs both example deployments in one process, with simulated callers and, on request, injected
 * faults.
 */
public final class DemoCommand {
  private static final int FAILED = 1;
  private static final int USAGE_ERROR = 2;
  private static final int THIRDS = 3;
  private static final int SETTLE_SECONDS = 5;

  private final DemoFlags flags;
  private final List<DemoFault> faults;
  private final PrintStream out;
  private final DemoStatistics statistics = new DemoStatistics();

  private DemoCommand(DemoFlags flags, List<DemoFault> faults, PrintStream out) {
    this.flags = flags;
    this.faults = faults;
    this.out = out;
  }

  /**
   * Runs the demo.
   *
   * @param arguments the flags
   * @param out receives progress messages, and the result as one JSON line
   * @param err receives error messages
   * @return the exit code: 0 if all four counts of violations are zero, 1 otherwise, 2 for invalid
   *     flags
   * @throws InterruptedException where the main thread is interrupted
   * @throws IOException where a sheet cannot be read
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err)
      throws InterruptedException, IOException {
    DemoFlags flags = new DemoFlags();
    JCommander commander =
        JCommander.newBuilder().programName("lavenderstage demo").addObject(flags).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      err.println(e.getMessage());
      return USAGE_ERROR;
    }
    if (flags.help) {
      commander.usage();
      return 0;
    }
    List<DemoFault> faults = new ArrayList<>();
    for (String name : flags.faults) {
      Optional<DemoFault> fault = DemoFault.of(name);
      if (fault.isEmpty()) {
        err.println("no fault is called " + name);
        return USAGE_ERROR;
      }
      faults.add(fault.get());
    }
    return new DemoCommand(flags, faults, out).run();
  }

  private int run() throws InterruptedException, IOException {
    List<DemoDeployment> deployments = new ArrayList<>();
    try {
      for (DemoSpec spec : DemoSpec.both()) {
        DemoDeployment deployment = new DemoDeployment(spec, flags.seed);
        deployments.add(deployment);
        deployment.publishSheet();
        out.println(spec.name() + ": three entries are ready, the sheet is in force");
      }
      if (flags.keepRunning) {
        printAddresses(deployments);
        new CountDownLatch(1).await();
      }
      return runCallers(deployments);
    } catch (PlatformUnavailableException e) {
      throw new IllegalStateException("the fake log did not reply", e);
    } finally {
      deployments.forEach(DemoDeployment::close);
    }
  }

  private void printAddresses(List<DemoDeployment> deployments) {
    List<DemoAddresses> addresses = deployments.stream().map(DemoAddresses::of).toList();
    out.println(new String(JsonCodec.encode(addresses), StandardCharsets.UTF_8));
  }

  private int runCallers(List<DemoDeployment> deployments) throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (DemoDeployment deployment : deployments) {
      DemoCallers callers = new DemoCallers(deployment, statistics, flags.seed);
      threads.add(Thread.ofPlatform().start(() -> runCallers(callers)));
    }
    injectFaults(deployments);
    for (Thread thread : threads) {
      thread.join();
    }
    TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
    DemoResult result = result(deployments);
    out.println(new String(JsonCodec.encode(result), StandardCharsets.UTF_8));
    return result.isClean() ? 0 : FAILED;
  }

  private void runCallers(DemoCallers callers) {
    try {
      callers.run(flags.seconds);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void injectFaults(List<DemoDeployment> deployments) throws InterruptedException {
    long thirdMillis = TimeUnit.SECONDS.toMillis(flags.seconds) / THIRDS;
    TimeUnit.MILLISECONDS.sleep(thirdMillis);
    for (DemoFault fault : faults) {
      out.println("fault begins: " + fault);
      deployments.forEach(fault::begin);
    }
    TimeUnit.MILLISECONDS.sleep(thirdMillis);
    for (DemoFault fault : faults) {
      deployments.forEach(fault::end);
      out.println("fault ends: " + fault);
    }
  }

  private DemoResult result(List<DemoDeployment> deployments) {
    return new DemoResult(
        statistics.count(Outcome.ANSWERED),
        statistics.count(Outcome.NOT_RUN),
        statistics.count(Outcome.NOT_ACCEPTED),
        statistics.count(Outcome.RAN),
        statistics.count(Outcome.UNKNOWN),
        statistics.wrongAnswers(),
        deployments.stream()
            .mapToLong(d -> d.runs().repeatedRuns() + d.tasks().repeatedCompletions())
            .sum(),
        deployments.stream().mapToLong(d -> d.tasks().overcommitted()).sum(),
        deployments.stream().mapToLong(d -> d.tasks().concurrentAttempts()).sum(),
        statistics.percentileMillis(50),
        statistics.percentileMillis(99),
        deployments.stream().mapToLong(d -> d.tasks().done()).sum(),
        deployments.stream().mapToLong(d -> d.tasks().checkpoints()).sum());
  }
}
