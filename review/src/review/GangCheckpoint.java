package review;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A gang whose members save their progress runs on three executors, of which one drains and leaves.
 * The gang has to start again elsewhere, all members with the same checkpoint.
 */
final class GangCheckpoint implements Main.Scenario {
  private static final int MEMBERS = 3;
  private static final int EXECUTORS = 7;
  private static final long WORK_MILLIS = 9_000;
  private static final String JOB = "5c0e7a21d94b36f8";
  private static final String TASK = JOB + ".0.0.0";

  /** drain_ms of the settings and a little longer. */
  private static final long DRAIN_MILLIS = 2_500;

  /** stability_window_ms: no disturbance is near after it. */
  private static final long STABILITY_WINDOW_MILLIS = 3_000;

  private static final long OBSERVED_MILLIS = 50_000;

  @Override
  public boolean run(Main.World world) throws Exception {
    world.publishManifest(7, new String[] {"q-a", "a.example", "/qa/", "svc-a", "1"});
    for (int i = 0; i < EXECUTORS; i++) {
      world.fleet().add("svc-a", 32_000, 128_000, "r1-" + i / 4);
    }
    world.startEntries(3);
    Caller caller = world.caller("a.example", "/qa/");
    int[] fronts = world.deployment().fronts();
    String body =
        "{\"spec\":\"work=" + WORK_MILLIS + ";gang=" + MEMBERS + ";saves=2000;cpu=20000\","
            + "\"steps\":[{\"count\":" + MEMBERS + ",\"cpu\":20000,\"mem_mb\":1024,\"estimate_ms\":"
            + WORK_MILLIS + ",\"checkpointing\":true,\"gang\":true}]}";
    if (!caller.submitUntilAccepted(fronts, JOB, body, Transcript.nowMillis() + 10_000)) {
      throw new IllegalStateException("the job was not accepted");
    }
    Executor drained = awaitMember(world);
    Thread.sleep(3_000);
    if (world.trouble()) {
      drained.drain();
      Thread.sleep(DRAIN_MILLIS);
      drained.leave();
      world.transcript().note(drained.id + " has drained and left");
    }
    Thread.sleep(STABILITY_WINDOW_MILLIS);
    int aloneBefore = alone(world);
    long until = Transcript.nowMillis() + OBSERVED_MILLIS;
    boolean completed = false;
    while (!completed && Transcript.nowMillis() < until) {
      Thread.sleep(1_000);
      completed = caller.state(fronts[0], JOB).isState("completed");
    }
    int aloneSince = alone(world) - aloneBefore;
    world.transcript().note("completed: " + completed);
    world.transcript().note("runs that ended alone with no disturbance near: " + aloneSince);
    return completed && aloneSince == 0;
  }

  private static Executor awaitMember(Main.World world) throws InterruptedException {
    long until = Transcript.nowMillis() + 10_000;
    while (Transcript.nowMillis() < until) {
      synchronized (world.fleet().lock) {
        Set<String> working = new TreeSet<>();
        Executor first = null;
        for (Executor executor : world.fleet().executors) {
          for (Executor.ActiveRun run : executor.running.values()) {
            if (run.worksFrom >= 0) {
              working.add(run.task);
              first = run.task.equals(TASK) ? executor : first;
            }
          }
        }
        if (working.size() == MEMBERS) {
          return first;
        }
      }
      Thread.sleep(20);
    }
    throw new IllegalStateException("the gang does not work");
  }

  private static int alone(Main.World world) {
    synchronized (world.fleet().lock) {
      return List.copyOf(world.fleet().endsByTask.values()).stream()
          .mapToInt(kinds -> kinds.getOrDefault("alone", 0))
          .sum();
    }
  }
}
