import java.util.Map;

/**
 * An executor that does not guard its capacity is cut off, a job on it is cancelled, and the owner
 * of the jobs is killed; the executor comes back before its lease ends.
 */
final class StrayRuns {
  private static final int EXECUTORS = 6;
  private static final long CUT_MILLIS = 5_200;

  public static void main(String[] arguments) throws Exception {
    Site site = new Site(10_000, 120, false);
    for (int i = 0; i < EXECUTORS; i++) {
      site.addExecutor(1_000, (executor, task, attempt, spec) -> spec);
    }
    site.start(5, 3);
    String first = "/orders/00000000000000a1";
    String second = "/orders/00000000000000b2";
    accept(site, first, Site.job("cpu=1000 ms=60000", EXECUTORS, 1_000, Map.of()));
    await(site, "00000000000000a1", EXECUTORS);
    accept(site, second, Site.job("cpu=1000 ms=60000", EXECUTORS, 1_000, Map.of()));
    Executor.sleep(1_000);
    Executor cut = site.executors.get(0);
    int owner = site.entries.owner();
    int other = (owner + 1) % site.entries.count();
    if (Site.trouble()) {
      cut.cut(true);
    }
    long cutAt = site.notes.millis();
    Executor.sleep(700);
    int status = site.entries.callUntilAnswered(other, "DELETE", first, "", 4_000).status();
    if (status != 200) {
      throw new IllegalStateException("the job was not cancelled: " + status);
    }
    Executor.sleep(300);
    if (Site.trouble()) {
      site.entries.kill(owner);
    }
    Executor.sleep(Math.max(0, cutAt + CUT_MILLIS - site.notes.millis()));
    if (Site.trouble()) {
      cut.cut(false);
    }
    Executor.sleep(8_000);
    boolean broken = false;
    for (Executor executor : site.executors) {
      for (String over : executor.overCapacity()) {
        site.notes.say("LIMIT: " + over);
        broken = true;
      }
    }
    site.notes.say(broken ? "the rule is broken" : "the rule holds");
    Site.end(site, broken);
  }

  private static void accept(Site site, String path, String body) {
    if (site.entries.callUntilAnswered(0, "POST", path, body, 10_000).status() != 200) {
      throw new IllegalStateException("a job was not accepted");
    }
  }

  private static void await(Site site, String job, int count) {
    long until = site.notes.millis() + 15_000;
    while (running(site, job) < count) {
      if (site.notes.millis() > until) {
        throw new IllegalStateException("the tasks of a job do not run");
      }
      Executor.sleep(50);
    }
  }

  private static int running(Site site, String job) {
    int running = 0;
    for (Executor executor : site.executors) {
      for (int i = 0; i < EXECUTORS; i++) {
        running += executor.isRunning(job + ".0.0." + i) ? 1 : 0;
      }
    }
    return running;
  }
}
