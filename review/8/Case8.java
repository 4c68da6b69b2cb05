package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case 8: the open channels to the executors go silent. The owner tries each idle channel that it keeps, one after the
 * other, before it opens a new one; meanwhile all leases lapse and no task is started.
 */
public final class Case8 {
  private static final int EXECUTORS = 3;
  private static final int LASTING_TASKS = 3;
  private static final int BATCH_JOBS = 4;
  private static final long STABILITY_MILLIS = 3_000;

  private Case8() {}

  /** Arguments: record file, scratch folder, whether the channels go silent. */
  public static void main(String[] args) throws Exception {
    boolean trouble = Boolean.parseBoolean(args[2]);
    Deployment system = new Deployment(Path.of(args[0]), Path.of(args[1]));
    system.writeManifest(1, "kit-desk", new Object[] {"watch", 0, 3}, new Object[] {"board", 2, 2});
    List<Proxy> proxies = new ArrayList<>();
    for (int i = 1; i <= EXECUTORS; i++) {
      int port = Deployment.freePort();
      Proxy proxy = new Proxy(port);
      proxies.add(proxy);
      system.startExecutor("i-" + i, "kit-desk", "r1-" + i, port, proxy.address());
    }
    system.startEntry("entry-1", system.store.address());
    system.startEntry("entry-2", system.store.address());
    if (!system.awaitReady(30)) {
      System.exit(system.verdict(Deployment.CANNOT_RUN, "the entries were not ready"));
    }
    String lasting =
        "{\"spec\":\"lasts cpu=2000 mem=1000\",\"steps\":[{\"count\":" + LASTING_TASKS
            + ",\"cpu\":2000,\"mem_mb\":1000,\"estimate_ms\":400,\"long_running\":true}]}";
    if (!system.submit("watch", Deployment.jobName(1), lasting, 15_000)) {
      System.exit(system.verdict(Deployment.CANNOT_RUN, "the lasting job was not accepted"));
    }
    Http.sleep(3_000);
    // Some batch jobs come at once, each no wider than the site's largest (36 tasks) and with tasks of no more than its
    // mean size; they start many tasks on each executor at the same moment.
    String batch =
        "{\"spec\":\"work=1000 cpu=1200 mem=1000\",\"steps\":[{\"count\":30,\"cpu\":1200,\"mem_mb\":1000,"
            + "\"estimate_ms\":1000}]}";
    for (int i = 0; i < BATCH_JOBS; i++) {
      int number = 10 + i;
      Thread.ofPlatform().daemon().start(() -> system.submit("board", Deployment.jobName(number), batch, 6_000));
    }
    Http.sleep(5_000);

    long silentMillis = System.currentTimeMillis();
    if (trouble) {
      for (Proxy proxy : proxies) {
        system.record.line("proxy", proxy.silence() + " open channels go silent");
      }
    }
    Http.sleep(1_000);
    String small =
        "{\"spec\":\"work=500 cpu=1000 mem=100\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":100,"
            + "\"estimate_ms\":500}]}";
    system.submit("board", Deployment.jobName(3), small, 6_000);
    Http.sleep(29_000);

    // LOST: a task that lasts has nothing running for 3 s, from 6 s after its last run, and the 3 s and the 4 s before
    // them are calm: they begin stability_window_ms after the disruption.
    long calmMillis = silentMillis + STABILITY_MILLIS;
    long[] gaps = system.lastingGaps(Deployment.jobName(1), LASTING_TASKS, calmMillis + 4_000);
    long broken = gaps[0];
    long longest = gaps[1];
    String seen =
        broken + " of " + LASTING_TASKS + " lasting tasks had nothing running for 3 s, from 6 s after their last run and"
            + " in calm; the longest gap was " + longest + " ms";
    System.exit(system.verdict(broken > 0 ? Deployment.RULE_BROKEN : Deployment.RULE_HELD, seen));
  }
}
