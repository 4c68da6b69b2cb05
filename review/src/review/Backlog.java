package review;

/**
 * A scheduled job is submitted whose first occurrences are due already: its start lies a day back.
 * The tasks that last, of another job, have to go on, and other jobs have to be taken.
 */
final class Backlog implements Main.Scenario {
  private static final String LASTING_JOB = "5c0e7a21d94b36f8";
  private static final String SCHEDULED_JOB = "77a09c32d94b36f8";
  private static final int EXECUTORS = 4;
  private static final int LASTING_TASKS = 4;
  private static final long DAY_MILLIS = 86_400_000;
  private static final long INTERVAL_MILLIS = 1_000;
  private static final int OCCURRENCES = 100_000;

  /** The time for which a task that lasts may have nothing running, by the rule. */
  private static final long IDLE_LIMIT_MILLIS = 6_000;

  /** The time for which a task that lasts isn't running after which the case ends early. */
  private static final long LONG_IDLE_MILLIS = 20_000;

  private static final long OBSERVED_MILLIS = 45_000;
  private static final long OBSERVED_AFTER_RESTART_MILLIS = 40_000;

  private Main.World world;
  private Caller caller;
  private int[] fronts;
  private int accepted;
  private int notAccepted;
  private long longestIdle;

  @Override
  public boolean run(Main.World played) throws Exception {
    world = played;
    world.publishManifest(7, new String[] {"q-a", "a.example", "/qa/", "svc-a", "1"});
    for (int i = 0; i < EXECUTORS; i++) {
      world.fleet().add("svc-a", 32_000, 128_000, "r1-" + i / 2);
    }
    world.startEntries(3);
    caller = world.caller("a.example", "/qa/");
    fronts = world.deployment().fronts();
    String lasting =
        "{\"spec\":\"work=0;cpu=2000\",\"steps\":[{\"count\":" + LASTING_TASKS
            + ",\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":1000,\"long_running\":true}]}";
    if (!caller.submitUntilAccepted(fronts, LASTING_JOB, lasting, Transcript.nowMillis() + 10_000)) {
      throw new IllegalStateException("the lasting job was not accepted");
    }
    Thread.sleep(3_000);
    long back = world.trouble() ? DAY_MILLIS : 0;
    String scheduled =
        "{\"spec\":\"work=100;cpu=100\",\"repeat_count\":" + OCCURRENCES + ",\"start_at_ms\":"
            + (System.currentTimeMillis() - back) + ",\"interval_ms\":" + INTERVAL_MILLIS
            + ",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":100}]}";
    Caller.Answer answer = caller.submit(fronts[0], SCHEDULED_JOB, scheduled);
    world.transcript().note("scheduled job answered with " + answer.status());
    observe(OBSERVED_MILLIS, LONG_IDLE_MILLIS);
    boolean held = longestIdle <= IDLE_LIMIT_MILLIS;
    world.transcript().note("longest time with a task that lasts not running: " + longestIdle + " ms");
    if (!held) {
      restartAll();
    }
    return held;
  }

  private void observe(long millis, long idleMillis) throws InterruptedException {
    long until = Transcript.nowMillis() + millis;
    long idleSince = Transcript.nowMillis();
    long nextOther = Transcript.nowMillis() + 3_000;
    while (Transcript.nowMillis() < until && longestIdle < idleMillis) {
      Thread.sleep(50);
      long now = Transcript.nowMillis();
      if (lastingRuns() == LASTING_TASKS) {
        idleSince = now;
      }
      longestIdle = Math.max(longestIdle, now - idleSince);
      if (now >= nextOther) {
        nextOther = now + 3_000;
        String other = String.format("%016x", 0xabc0000 + accepted + notAccepted);
        String small =
            "{\"spec\":\"work=100;cpu=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":100}]}";
        if (caller.submit(fronts[(accepted + notAccepted) % fronts.length], other, small).isSuccess()) {
          accepted++;
        } else {
          notAccepted++;
        }
        world.transcript().note(
            "tasks that last at work: " + lastingRuns() + " of " + LASTING_TASKS
                + "; other jobs accepted " + accepted + ", not accepted " + notAccepted);
      }
    }
  }

  private long lastingRuns() {
    synchronized (world.fleet().lock) {
      return world.fleet().executors.stream()
          .flatMap(executor -> executor.running.values().stream())
          .filter(run -> run.task.startsWith(LASTING_JOB))
          .count();
    }
  }

  /** Shows, for information only, whether a restart of all entries helps. */
  private void restartAll() throws Exception {
    for (Deployment.Entry entry : world.deployment().entries()) {
      entry.process.destroyForcibly().waitFor();
      world.deployment().start(entry);
    }
    world.transcript().note("for information: all entries were killed and started again");
    observe(OBSERVED_AFTER_RESTART_MILLIS, Long.MAX_VALUE);
  }
}
