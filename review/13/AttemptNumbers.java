import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A task that lasts fails at once each time it is started, for a while; then it works. Later the
 * machine of the owner and that of the task's executor fail together.
 */
final class AttemptNumbers {
  private static final int EXECUTORS = 12;
  private static final int FAILURES = 1_300;
  private static final long MAX_FAILING_MILLIS = 75_000;
  private static final String TASK = "00000000000000c3.0.0.0";

  /** Longest time without a run that is watched after the faults, in milliseconds. */
  private static final long WATCHED_MILLIS = 32_000;

  public static void main(String[] arguments) throws Exception {
    boolean failing = !"0".equals(System.getenv("FAILING"));
    AtomicBoolean works = new AtomicBoolean(!failing);
    AtomicInteger failures = new AtomicInteger();
    AtomicReference<Executor> last = new AtomicReference<>();
    Site site = new Site(10_000, 120, true);
    for (int i = 0; i < EXECUTORS; i++) {
      site.addExecutor(
          4_000,
          (executor, task, attempt, spec) -> {
            if (!spec.startsWith("lasts")) {
              return spec;
            }
            last.set(executor);
            if (works.get()) {
              return spec;
            }
            failures.incrementAndGet();
            return "fail=0";
          });
    }
    site.start(5, 3);
    accept(site, "/watch/00000000000000c3", Site.job("lasts cpu=400", 1, 400, Map.of("long_running", true)));
    long until = site.notes.millis() + MAX_FAILING_MILLIS;
    for (int i = 0; failing && failures.get() < FAILURES && site.notes.millis() < until; i++) {
      String path = String.format("/orders/%016x", 0xd000 + i);
      accept(site, path, Site.job("ms=20 cpu=20", EXECUTORS, 20, Map.of("max_per_server", 1L)));
      Executor.sleep(150);
      if (i % 20 == 0) {
        System.out.println(site.notes.millis() + " ms: " + failures.get() + " failures");
      }
    }
    works.set(true);
    site.notes.say(failures.get() + " runs have failed; the task works from now on");
    Executor.sleep(6_000);
    Executor executor = last.get();
    if (!executor.isRunning(TASK)) {
      throw new IllegalStateException("the task does not run");
    }
    int owner = site.entries.owner();
    if (Site.trouble()) {
      site.entries.kill(owner);
      executor.crash();
    }
    long faultAt = site.notes.millis();
    long ranAt = faultAt;
    long longest = 0;
    while (site.notes.millis() < faultAt + WATCHED_MILLIS) {
      Executor.sleep(50);
      boolean runs = false;
      for (Executor any : site.executors) {
        runs |= any.isRunning(TASK);
      }
      ranAt = runs ? site.notes.millis() : ranAt;
      longest = Math.max(longest, site.notes.millis() - ranAt);
    }
    String state = site.state((owner + 1) % site.entries.count(), "/watch/00000000000000c3");
    // 14 s (finish_s) after the faults, 6 s after the last run, and 3 s with nothing running.
    boolean broken = longest > 23_000 && state.equals("running");
    site.notes.say(
        "the job is shown as " + state + "; its task had no run for up to " + longest + " ms");
    site.notes.say(broken ? "LOST: the rule is broken" : "the rule holds");
    Site.end(site, broken);
  }

  private static void accept(Site site, String path, String body) {
    if (site.entries.callUntilAnswered(0, "POST", path, body, 10_000).status() != 200) {
      throw new IllegalStateException("a job was not accepted");
    }
  }
}
