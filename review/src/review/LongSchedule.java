package review;

/**
 * A scheduled job with many occurrences runs beside other jobs. Each occurrence that is due has to
 * run; the other jobs have to be taken and run as before.
 */
final class LongSchedule implements Main.Scenario {
  private static final String JOB = "5c0e7a21d94b36f8";
  private static final String OTHER_JOB =
      "{\"spec\":\"work=100;cpu=100\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":100}]}";

  private static final int EXECUTORS = 2;
  private static final long INTERVAL_MILLIS = 10;

  /** Number of occurrences; without the disruption it is a day of a job that runs each 5 minutes. */
  private static final int OCCURRENCES = 6_500;

  private static final int FEW_OCCURRENCES = 288;

  /** The time for which a job may have nothing running, by the rule. */
  private static final long IDLE_LIMIT_MILLIS = 3_000;

  /** The time for which nothing runs after which the case ends early. */
  private static final long LONG_IDLE_MILLIS = 10_000;

  private static final long OBSERVED_MILLIS = 80_000;

  @Override
  public boolean run(Main.World world) throws Exception {
    world.publishManifest(7, new String[] {"q-a", "a.example", "/qa/", "svc-a", "1"});
    for (int i = 0; i < EXECUTORS; i++) {
      world.fleet().add("svc-a", 32_000, 128_000, "r1-" + i);
    }
    world.startEntries(3);
    Caller caller = world.caller("a.example", "/qa/");
    int[] fronts = world.deployment().fronts();
    int occurrences = world.trouble() ? OCCURRENCES : FEW_OCCURRENCES;
    long startAt = System.currentTimeMillis() + 500;
    String body =
        "{\"spec\":\"work=100;cpu=100\",\"repeat_count\":" + occurrences + ",\"start_at_ms\":"
            + startAt + ",\"interval_ms\":" + INTERVAL_MILLIS
            + ",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"estimate_ms\":100}]}";
    if (!caller.submitUntilAccepted(fronts, JOB, body, Transcript.nowMillis() + 10_000)) {
      throw new IllegalStateException("the job was not accepted");
    }
    world.transcript().note("scheduled job accepted: " + occurrences + " occurrences");
    long idleSince = Transcript.nowMillis();
    long longestIdle = 0;
    int others = 0;
    int othersRejected = 0;
    long nextOther = Transcript.nowMillis() + 3_000;
    long until = Transcript.nowMillis() + OBSERVED_MILLIS;
    boolean completed = false;
    while (!completed && longestIdle < LONG_IDLE_MILLIS && Transcript.nowMillis() < until) {
      Thread.sleep(50);
      long now = Transcript.nowMillis();
      long due = Math.min(occurrences, (System.currentTimeMillis() - startAt) / INTERVAL_MILLIS);
      int running = world.fleet().runningCount();
      int started = world.fleet().startedRuns - others;
      if (running > 0 || started >= due) {
        idleSince = now;
      }
      longestIdle = Math.max(longestIdle, now - idleSince);
      if (now >= nextOther) {
        nextOther += 3_000;
        String other = String.format("%016x", 0xabc0000 + others + othersRejected);
        if (caller.submit(fronts[(others + othersRejected) % fronts.length], other, OTHER_JOB).isSuccess()) {
          others++;
        } else {
          othersRejected++;
        }
        completed = caller.state(fronts[0], JOB).isState("completed");
        world.transcript().note(
            "due " + due + ", started " + started + ", running " + running + "; other jobs accepted "
                + others + ", not accepted " + othersRejected);
      }
    }
    world.transcript().note("longest time with due occurrences and nothing running: " + longestIdle + " ms");
    world.transcript().note("completed: " + completed);
    boolean held = longestIdle <= IDLE_LIMIT_MILLIS;
    if (!held) {
      Caller.Answer cancelled = caller.cancel(fronts[0], JOB);
      world.transcript().note("its cancel is answered with " + cancelled.status());
      restartAll(world, caller, fronts);
    }
    return held;
  }

  /** Shows, for information only, whether a restart of all entries helps. */
  private static void restartAll(Main.World world, Caller caller, int[] fronts) throws Exception {
    for (Deployment.Entry entry : world.deployment().entries()) {
      entry.process.destroyForcibly().waitFor();
      world.deployment().start(entry);
    }
    world.transcript().note("for information: all entries were killed and started again");
    int accepted = 0;
    for (int i = 0; i < 6; i++) {
      Thread.sleep(3_000);
      if (caller.submit(fronts[i % fronts.length], String.format("%016x", 0xdef0000 + i), OTHER_JOB).isSuccess()) {
        accepted++;
      }
    }
    world.transcript().note("for information: of 6 other jobs since then, accepted " + accepted);
  }
}
