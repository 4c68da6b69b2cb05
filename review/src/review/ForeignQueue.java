package review;

/**
 * Two members of a cooperative have a queue and a service each. One of them uses an identifier that
 * the other one uses too. Each has to see and to cancel its own job only, and both have to run.
 */
final class ForeignQueue implements Main.Scenario {
  private static final String JOB = "0000000000000001";
  private static final String OTHER_JOB = "0000000000000002";

  @Override
  public boolean run(Main.World world) throws Exception {
    world.publishManifest(
        7,
        new String[] {"q-a", "a.example", "/qa/", "svc-a", "1"},
        new String[] {"q-b", "b.example", "/qb/", "svc-b", "1"});
    world.fleet().add("svc-a", 32_000, 128_000, "r1-0");
    Executor ofB = world.fleet().add("svc-b", 32_000, 128_000, "r1-1");
    world.startEntries(3);
    Caller a = world.caller("a.example", "/qa/");
    Caller b = world.caller("b.example", "/qb/");
    int[] fronts = world.deployment().fronts();
    String ofBId = world.trouble() ? JOB : OTHER_JOB;
    String body = "{\"spec\":\"work=12000;cpu=1000\",\"steps\":[{\"count\":2,\"cpu\":1000,\"mem_mb\":64,\"estimate_ms\":12000}]}";
    if (!a.submitUntilAccepted(fronts, JOB, body, Transcript.nowMillis() + 10_000)) {
      throw new IllegalStateException("the job of member a was not accepted");
    }
    Thread.sleep(2_000);
    boolean foreignSeen = b.state(fronts[1], ofBId).isSuccess();
    boolean accepted = b.submit(fronts[1], ofBId, body).isSuccess();
    Thread.sleep(6_000);
    int runsOfB;
    synchronized (world.fleet().lock) {
      runsOfB = ofB.running.size();
    }
    boolean lost = accepted && runsOfB == 0;
    b.cancel(fronts[2], ofBId);
    Thread.sleep(1_000);
    boolean foreignCancelled = a.state(fronts[0], JOB).isState("cancelled");
    world.transcript().note("member b is shown a job that it did not submit: " + foreignSeen);
    world.transcript().note("member b's job is accepted: " + accepted + ", and runs: " + runsOfB);
    world.transcript().note("member a's job is cancelled by member b's call: " + foreignCancelled);
    return !foreignSeen && !lost && !foreignCancelled;
  }
}
