package org.lavenderstage.launcher.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.fault.FaultSwitch;

/** Tests kills, pauses, outages of the log and planned stops of entries in separate processes. */
class ProcessFaultsTest {
  private static final Duration FAILOVER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration JOBS_TIMEOUT = Duration.ofSeconds(40);
  private static final int JOBS = 20;
  private static final int JOB_MILLIS = 3000;

  @Test
  void jobsOfAKilledOwnerCompleteExactlyOnce() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2)) {
      String owner = submitJobsAndFindTheOwner(deployment);
      deployment.kill(owner);
      String other = deployment.names().get(0);
      ProcessDeployment.await(FAILOVER_TIMEOUT, () -> deployment.owner().equals(other));
      assertEveryJobCompletesOnce(deployment);
    }
  }

  @Test
  void anOwnerPausedPastItsLeaseCausesNoSecondRun() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2)) {
      String owner = submitJobsAndFindTheOwner(deployment);
      String other =
          deployment.names().stream().filter(name -> !name.equals(owner)).findAny().orElseThrow();
      deployment.signal(owner, "STOP");
      ProcessDeployment.await(
          FAILOVER_TIMEOUT, () -> deployment.state(other).contains("\"owner\":\"" + other + "-"));
      deployment.signal(owner, "CONT");
      assertEveryJobCompletesOnce(deployment);
    }
  }

  @Test
  void entriesThatReplaceAllOthersAtOnceContinueJobsRequestsAndSheet() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2)) {
      String key = IdempotencyKeys.create();
      assertEquals("answered", outcome(deployment.request("entry-0", "cut-layouts", key, "cut")));
      submitJobsAndFindTheOwner(deployment);
      deployment.kill("entry-0");
      deployment.kill("entry-1");
      deployment.startEntry("entry-2");
      deployment.startEntry("entry-3");
      for (String entry : deployment.names()) {
        ProcessDeployment.await(JOBS_TIMEOUT, () -> deployment.isReady(entry));
        assertTrue(deployment.state(entry).contains("\"sheetVersion\":1"));
        HttpResponse<String> repeat = deployment.request(entry, "cut-layouts", key, "cut");
        assertTrue(List.of("ran", "unknown").contains(outcome(repeat)), outcome(repeat));
      }
      assertEquals(1, deployment.runs.runs(ProcessDeployment.WORKSPACE, key));
      assertEveryJobCompletesOnce(deployment);
    }
  }

  @Test
  void anUnresponsiveLogDelaysNoIdempotentRequest() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2)) {
      deployment.logFaults.set(FaultSwitch.Kind.FREEZE, 1);
      TimeUnit.SECONDS.sleep(2);
      for (String entry : deployment.names()) {
        assertAnswered(deployment, entry);
        HttpResponse<String> keyedAnswer =
            deployment.request(entry, "cut-layouts", IdempotencyKeys.create(), "an order");
        assertEquals("not-accepted", outcome(keyedAnswer));
      }
      deployment.logFaults.set(FaultSwitch.Kind.FREEZE, 0);
      ProcessDeployment.await(
          FAILOVER_TIMEOUT,
          () ->
              outcome(
                      deployment.request(
                          "entry-0", "cut-layouts", IdempotencyKeys.create(), "an order"))
                  .equals("answered"));
      assertEquals(0, deployment.runs.repeatedRuns());
    }
  }

  @Test
  void anEntryStartsFromAPeerWhileTheLogIsDown() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(1)) {
      deployment.logFaults.set(FaultSwitch.Kind.DOWN, 1);
      deployment.startEntry("late-entry");
      ProcessDeployment.await(FAILOVER_TIMEOUT, () -> deployment.isReady("late-entry"));
      assertAnswered(deployment, "late-entry");
      HttpResponse<String> keyedAnswer =
          deployment.request("late-entry", "cut-layouts", IdempotencyKeys.create(), "an order");
      assertEquals("not-accepted", outcome(keyedAnswer));
    }
  }

  @Test
  void anEntryThatReachesNeitherLogNorPeersStaysUnready() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(1)) {
      deployment.logFaults.set(FaultSwitch.Kind.DOWN, 1);
      deployment.kill("entry-0");
      deployment.startEntry("alone");
      TimeUnit.SECONDS.sleep(3);
      assertTrue(!deployment.isReady("alone"));
      deployment.logFaults.set(FaultSwitch.Kind.DOWN, 0);
      ProcessDeployment.await(FAILOVER_TIMEOUT, () -> deployment.isReady("alone"));
    }
  }

  @Test
  void aPlannedStopUnderLoadInterruptsNoRequest() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2);
        ExecutorService callers = Executors.newFixedThreadPool(16)) {
      List<Future<HttpResponse<String>>> answers = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        String body = "request " + i;
        answers.add(callers.submit(() -> deployment.request("entry-0", "jack-voicing", "", body)));
      }
      TimeUnit.MILLISECONDS.sleep(100);
      deployment.entry("entry-0").process().destroy();
      int answered = 0;
      for (Future<HttpResponse<String>> answer : answers) {
        answered += isAnsweredOrNeverAccepted(answer) ? 1 : 0;
      }
      assertEquals(200, answered);
    }
  }

  @Test
  void aKeyedRequestRepeatedThroughTwoEntriesRunsOnce() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2);
        ExecutorService callers = Executors.newFixedThreadPool(8)) {
      List<Future<HttpResponse<String>>> answers = new ArrayList<>();
      List<String> keys = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        String key = IdempotencyKeys.create();
        keys.add(key);
        for (String entry : deployment.names()) {
          answers.add(
              callers.submit(() -> deployment.request(entry, "cut-layouts", key, "order " + key)));
        }
      }
      for (Future<HttpResponse<String>> answer : answers) {
        assertNotEquals("", outcome(answer.get()));
      }
      assertEquals(0, deployment.runs.repeatedRuns());
      for (String key : keys) {
        assertEquals(1, deployment.runs.runs(ProcessDeployment.WORKSPACE, key));
      }
    }
  }

  @Test
  void aKeyedRequestWhoseEntryIsKilledAfterItsDispatchNeverRunsAgain() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(2);
        ExecutorService callers = Executors.newFixedThreadPool(2)) {
      deployment.executorFaults.set(FaultSwitch.Kind.SLOW, 1500);
      String key = IdempotencyKeys.create();
      Future<HttpResponse<String>> first =
          callers.submit(() -> deployment.request("entry-0", "cut-layouts", key, "an order"));
      ProcessDeployment.await(
          FAILOVER_TIMEOUT, () -> deployment.runs.runs(ProcessDeployment.WORKSPACE, key) == 1);
      deployment.kill("entry-0");
      HttpResponse<String> repeat = deployment.request("entry-1", "cut-layouts", key, "an order");
      assertEquals("unknown", outcome(repeat));
      assertEquals(1, deployment.runs.runs(ProcessDeployment.WORKSPACE, key));
      assertTrue(first.isDone() || !first.isCancelled());
    }
  }

  @Test
  void truncatedAndMismatchedAnswersNeverReachACaller() throws Exception {
    try (ProcessDeployment deployment = new ProcessDeployment(1);
        ExecutorService callers = Executors.newFixedThreadPool(16)) {
      deployment.executorFaults.set(FaultSwitch.Kind.CUT_ANSWERS, 30);
      deployment.executorFaults.set(FaultSwitch.Kind.CROSS_ANSWERS, 30);
      List<Future<HttpResponse<String>>> answers = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        String body = "request " + i;
        answers.add(callers.submit(() -> deployment.request("entry-0", "jack-voicing", "", body)));
      }
      int answered = 0;
      for (int i = 0; i < answers.size(); i++) {
        HttpResponse<String> answer = answers.get(i).get();
        if (outcome(answer).equals("answered")) {
          answered++;
          assertEquals(expected("request " + i), answer.body());
        }
      }
      assertTrue(answered > 0);
    }
  }

  private static String submitJobsAndFindTheOwner(ProcessDeployment deployment) throws Exception {
    for (int i = 0; i < JOBS; i++) {
      String entry = deployment.names().get(i % deployment.names().size());
      assertEquals(202, deployment.submitJob(entry, JOB_MILLIS).statusCode());
    }
    return deployment.owner();
  }

  private static void assertEveryJobCompletesOnce(ProcessDeployment deployment) throws Exception {
    ProcessDeployment.await(JOBS_TIMEOUT, () -> deployment.tasks.done() == JOBS);
    TimeUnit.MILLISECONDS.sleep(ProcessDeployment.WORKER_LEASE_MILLIS);
    assertEquals(0, deployment.tasks.concurrentAttempts());
    assertEquals(0, deployment.tasks.repeatedCompletions());
    assertEquals(0, deployment.tasks.overcommitted());
  }

  private static void assertAnswered(ProcessDeployment deployment, String entry) throws Exception {
    HttpResponse<String> answer = deployment.request(entry, "jack-voicing", "", "hello");
    assertEquals("answered", outcome(answer));
    assertEquals(expected("hello"), answer.body());
  }

  /** A refused connection does not count as a lost request: the entry never accepted it. */
  private static boolean isAnsweredOrNeverAccepted(Future<HttpResponse<String>> answer)
      throws InterruptedException {
    try {
      return !outcome(answer.get()).isEmpty();
    } catch (java.util.concurrent.ExecutionException e) {
      return e.getCause() instanceof java.net.ConnectException;
    }
  }

  private static String expected(String body) {
    return FakeExecutorServer.answerBody(
        ProcessDeployment.WORKSPACE, body.getBytes(StandardCharsets.UTF_8));
  }

  private static String outcome(HttpResponse<String> answer) {
    return answer.headers().firstValue("lavenderstage-outcome").orElse("");
  }
}
