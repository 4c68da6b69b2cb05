package org.lavenderstage.bench.speed;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.lavenderstage.core.ledger.cell.JobPhase;
import org.lavenderstage.core.placement.PlannedAction;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.routing.ExecutorInfo;
import org.lavenderstage.core.routing.ExecutorTable;
import org.lavenderstage.wire.codec.JsonCodec;

/** Implements {@code bench core}: measures the speed of the core on one thread. */
public final class SpeedBench {
  private static final int USAGE_ERROR = 2;
  private static final int WARM_UPS = 5;
  private static final int SMALL_CELL = 50;
  private static final int LARGE_CELL = 500;
  private static final int WAITING_PER_WORKER = 4;
  private static final int PLACEMENTS = 20_000;
  private static final int IDLE_PLANS = 50;
  private static final int FOLD_JOBS = 100_000;
  private static final int HEAP_WORKERS = 5_000;
  private static final int ROUTINGS = 1_000_000;
  private static final int EXECUTORS = 30;
  private static final int SLOTS = 8;
  private static final int IN_FLIGHT = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private SpeedBench() {}

  /**
   * Runs the measurements and prints the table of results.
   *
   * @param arguments flags of the command
   * @param out receives the table of results
   * @param err receives error messages
   * @return the exit code: 0 on success, 2 for invalid flags
   * @throws IOException where the JSON cannot be written
   */
  public static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
    SpeedFlags flags = new SpeedFlags();
    JCommander commander =
        JCommander.newBuilder().programName("lavenderstage bench core").addObject(flags).build();
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
    List<SpeedRow> rows = measure(Math.max(1, flags.repeats));
    rows.forEach(out::println);
    if (!flags.json.isEmpty()) {
      Files.write(Path.of(flags.json), JsonCodec.encode(rows));
    }
    return 0;
  }

  private static List<SpeedRow> measure(int repeats) {
    double[] small = repeat(repeats, () -> placementsPerSecond(SMALL_CELL));
    double[] large = repeat(repeats, () -> placementsPerSecond(LARGE_CELL));
    double[] cost = new double[repeats];
    Arrays.setAll(cost, i -> small[i] / large[i]);
    List<SpeedRow> rows = new ArrayList<>();
    rows.add(SpeedRow.withoutTarget("placements/s, 50 workers, 500 tasks", small));
    rows.add(SpeedRow.atLeast("placements/s, 500 workers, 5000 tasks", 20_000, large));
    rows.add(SpeedRow.atMost("cost of a placement, 500 workers / 50 workers", 2, cost));
    rows.add(
        SpeedRow.withoutTarget(
            "plan without waiting tasks, 500 workers, microseconds",
            repeat(repeats, SpeedBench::idlePlanMicros)));
    rows.add(
        SpeedRow.atLeast(
            "fold records/s of CellLedger",
            500_000,
            repeat(repeats, SpeedBench::foldRecordsPerSecond)));
    rows.add(
        SpeedRow.withoutTarget(
            "heap bytes a live task", repeat(repeats, SpeedBench::heapBytesPerTask)));
    rows.add(
        SpeedRow.atLeast(
            "routing decisions/s (take and release)",
            1_000_000,
            repeat(repeats, SpeedBench::routingsPerSecond)));
    return rows;
  }

  private static double[] repeat(int repeats, DoubleSupplier measurement) {
    for (int i = 0; i < WARM_UPS; i++) {
      double unused = measurement.getAsDouble();
    }
    double[] figures = new double[repeats];
    for (int i = 0; i < repeats; i++) {
      figures[i] = measurement.getAsDouble();
    }
    return figures;
  }

  private static double placementsPerSecond(int workers) {
    SpeedCell cell = new SpeedCell(workers);
    cell.fill(workers * SpeedCell.TASKS_PER_WORKER);
    cell.accept(workers * WAITING_PER_WORKER);
    int plans = PLACEMENTS / (workers * WAITING_PER_WORKER);
    long placed = 0;
    long start = System.nanoTime();
    for (int i = 0; i < plans; i++) {
      placed += placements(cell.planner.plan(cell.ledger, 20_000));
    }
    long took = System.nanoTime() - start;
    if (placed == 0) {
      throw new IllegalStateException("the planner placed no task");
    }
    return placed * NANOS_PER_SECOND / took;
  }

  private static long placements(List<PlannedAction> actions) {
    return actions.stream().filter(PlannedAction.Place.class::isInstance).count();
  }

  private static double idlePlanMicros() {
    SpeedCell cell = new SpeedCell(LARGE_CELL);
    cell.fill(LARGE_CELL * SpeedCell.TASKS_PER_WORKER);
    long start = System.nanoTime();
    for (int i = 0; i < IDLE_PLANS; i++) {
      List<PlannedAction> unused = cell.planner.plan(cell.ledger, 20_000);
    }
    return (System.nanoTime() - start) / 1000.0 / IDLE_PLANS;
  }

  private static double foldRecordsPerSecond() {
    SpeedCell cell = new SpeedCell(LARGE_CELL);
    cell.fill(LARGE_CELL * SpeedCell.TASKS_PER_WORKER);
    List<LedgerRecord> records = cell.jobLifecycles(FOLD_JOBS);
    long start = System.nanoTime();
    records.forEach(cell::apply);
    return records.size() * NANOS_PER_SECOND / (System.nanoTime() - start);
  }

  private static double heapBytesPerTask() {
    SpeedCell cell = new SpeedCell(HEAP_WORKERS);
    long before = usedBytes();
    int tasks = HEAP_WORKERS * SpeedCell.TASKS_PER_WORKER;
    cell.fill(tasks);
    long after = usedBytes();
    long placed = cell.ledger.jobs().stream().filter(job -> job.phase() == JobPhase.PLACED).count();
    if (placed != tasks) {
      throw new IllegalStateException("the ledger does not hold all tasks as placed");
    }
    return (double) (after - before) / tasks;
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private static double routingsPerSecond() {
    ExecutorTable table = new ExecutorTable(SLOTS);
    List<ExecutorInfo> executors = new ArrayList<>();
    for (int i = 0; i < EXECUTORS; i++) {
      executors.add(new ExecutorInfo("executor-" + i, "", "cell", "service"));
    }
    table.setExecutors(executors);
    ExecutorInfo[] held = new ExecutorInfo[IN_FLIGHT];
    long start = System.nanoTime();
    for (int i = 0; i < ROUTINGS; i++) {
      int index = i % IN_FLIGHT;
      if (held[index] != null) {
        table.release(held[index]);
      }
      held[index] = table.acquire("service").orElseThrow();
    }
    return ROUTINGS * NANOS_PER_SECOND / (System.nanoTime() - start);
  }
}
