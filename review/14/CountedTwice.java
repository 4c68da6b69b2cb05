import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/**
 * A run fails once. Its executor is cut off right after it has reported that, and the owner of the
 * jobs is killed before the executor is back.
 */
final class CountedTwice {
  private static final int EXECUTORS = 6;
  private static final long CUT_MILLIS = 5_500;
  private static final String JOB = "00000000000000e5";

  public static void main(String[] arguments) throws Exception {
    AtomicReference<Executor> failedOn = new AtomicReference<>();
    Site site = new Site(10_000, 120, true);
    for (int i = 0; i < EXECUTORS; i++) {
      site.addExecutor(
          4_000,
          (executor, task, attempt, spec) -> {
            if (failedOn.compareAndSet(null, executor)) {
              executor.afterReportOfEnds =
                  () -> {
                    executor.afterReportOfEnds = () -> {};
                    if (Site.trouble()) {
                      executor.cut(true);
                    }
                  };
              return "fail=300";
            }
            return spec;
          });
    }
    site.start(5, 2);
    String path = "/orders/" + JOB;
    if (site.entries.callUntilAnswered(0, "POST", path, Site.job("ms=60000", 1, 1_000, Map.of()), 10_000).status()
        != 200) {
      throw new IllegalStateException("the job was not accepted");
    }
    long until = site.notes.millis() + 10_000;
    while (failedOn.get() == null || !restarted(site, failedOn.get())) {
      if (site.notes.millis() > until) {
        throw new IllegalStateException("the task was not started again");
      }
      Executor.sleep(20);
    }
    long cutAt = site.notes.millis();
    int owner = site.entries.owner();
    Executor.sleep(CUT_MILLIS - 250);
    if (Site.trouble()) {
      site.entries.kill(owner);
    }
    Executor.sleep(Math.max(0, cutAt + CUT_MILLIS - site.notes.millis()));
    failedOn.get().cut(false);
    Executor.sleep(8_000);
    String state = site.state((owner + 1) % site.entries.count(), path);
    boolean broken = state.equals("failed");
    site.notes.say("one run has failed, two are allowed; the job is shown as " + state);
    site.notes.say(broken ? "LOST: the rule is broken" : "the rule holds");
    Site.end(site, broken);
  }

  private static boolean restarted(Site site, Executor failedOn) {
    for (Executor executor : site.executors) {
      if (executor != failedOn && executor.isRunning(JOB + ".0.0.0")) {
        return true;
      }
    }
    return false;
  }
}
