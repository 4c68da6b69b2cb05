import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some jobs whose tasks last, and fail soon after each start, beside a few urgent jobs of short
 * tasks.
 */
final class Starved {
  private static final int EXECUTORS = 12;

  /** Jobs whose tasks last; together they ask for 307 of the 384 processors. */
  private static final int LASTING_JOBS = 8;

  /** How long after its start each of their tasks fails, in milliseconds. */
  private static final long FAIL_AFTER = 10;

  private static final long CPU = 32_000;
  private static final int JOBS = 6;
  private static final long TASKS = 6;
  private static final long TASK_CPU = 2_000;
  private static final long WATCHED_MILLIS = 50_000;

  /** The bound finish_s, and the time for which a job may have nothing running; of the rule. */
  private static final long FINISH_MILLIS = 14_000;

  private static final long NOTHING_MILLIS = 3_000;

  public static void main(String[] arguments) throws Exception {
    AtomicInteger starts = new AtomicInteger();
    AtomicInteger[] done = new AtomicInteger[JOBS];
    Site site = new Site(10_000, 120, true);
    for (int i = 0; i < JOBS; i++) {
      done[i] = new AtomicInteger();
    }
    for (int i = 0; i < EXECUTORS; i++) {
      site.addExecutor(
          CPU,
          (executor, task, attempt, spec) -> {
            if (spec.startsWith("lasts")) {
              starts.incrementAndGet();
              return Site.trouble() ? "fail=" + FAIL_AFTER : spec;
            }
            done[Integer.parseInt(task.substring(15, 16))].incrementAndGet();
            return spec;
          });
    }
    site.start(5, 3);
    for (int i = 0; i < LASTING_JOBS; i++) {
      accept(
          site,
          "/watch/" + String.format("%016x", 0xd000 + i),
          Site.job("lasts cpu=6400", 6, 6_400, Map.of("long_running", true)));
    }
    Executor.sleep(12_000);
    for (int i = 0; i < JOBS; i++) {
      accept(site, "/orders/" + id(i), Site.job("ms=500 cpu=" + TASK_CPU, TASKS, TASK_CPU, Map.of()));
      Executor.sleep(500);
    }
    long end = site.notes.millis();
    site.notes.say("the last job was handed in; the rule asks from " + FINISH_MILLIS + " ms later on");
    long[] nothingSince = new long[JOBS];
    long[] longest = new long[JOBS];
    long mostUsed = 0;
    boolean open = true;
    while (open && site.notes.millis() < end + WATCHED_MILLIS) {
      long used = used(site, "");
      mostUsed = Math.max(mostUsed, used);
      long now = site.notes.millis();
      open = false;
      for (int i = 0; i < JOBS; i++) {
        boolean capacity = 2 * used < EXECUTORS * CPU && used + 2 * TASKS * TASK_CPU <= EXECUTORS * CPU;
        boolean nothing = done[i].get() < TASKS && used(site, id(i)) == 0;
        open |= done[i].get() < TASKS;
        if (!nothing || !capacity || now < end + FINISH_MILLIS) {
          nothingSince[i] = now;
        } else {
          longest[i] = Math.max(longest[i], now - nothingSince[i]);
        }
      }
      Executor.sleep(20);
    }
    boolean broken = false;
    for (int i = 0; i < JOBS; i++) {
      broken |= longest[i] >= NOTHING_MILLIS;
      site.notes.say(
          "job " + id(i) + " is shown as " + site.state(0, "/orders/" + id(i)) + "; " + done[i].get()
              + " starts; nothing running for " + longest[i] + " ms beside free capacity");
    }
    site.notes.say(
        starts.get() + " starts of the tasks that last; at most " + mostUsed / 1_000 + " of "
            + EXECUTORS * CPU / 1_000 + " processors were in use; watched for "
            + (site.notes.millis() - end) + " ms");
    site.notes.say(broken ? "LOST: the rule is broken" : "the rule holds");
    Site.end(site, broken);
  }

  private static String id(int i) {
    return String.format("%016x", 0xa00 + i);
  }

  private static long used(Site site, String taskPrefix) {
    long used = 0;
    for (Executor executor : site.executors) {
      used += executor.used(taskPrefix);
    }
    return used;
  }

  private static void accept(Site site, String path, String body) {
    if (site.entries.callUntilAnswered(0, "POST", path, body, 10_000).status() != 200) {
      throw new IllegalStateException("a job was not accepted");
    }
  }
}
