package org.lavenderstage.clients.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.clients.ExecutorResult;

/** Promise 4 at the wire: crossed, cut, doubled and late answers never reach a caller. */
class HttpExecutorClientTest {
  private static final Duration LONG = Duration.ofSeconds(20);
  private static final Duration SHORT = Duration.ofMillis(100);
  private static final int CALLS_IN_TURN = 20;
  private static final ExecutorRequest REQUEST =
      new ExecutorRequest("r", "w", "s", "k", "text/plain", new byte[] {1, 2});

  private final HttpExecutorClient client = new HttpExecutorClient(1000);

  @AfterEach
  void closeTheClient() {
    client.close();
  }

  @Test
  void aWholeAnswerWithTheRequestsOwnNumberIsPassedOn() throws IOException {
    try (ScriptedExecutor executor = new ScriptedExecutor(HttpExecutorClientTest::own)) {
      assertAnswer("own 1", call(executor, LONG));
      assertAnswer("own 2", call(executor, LONG));
      assertEquals(1, executor.connections());
      assertNotEquals(executor.ids().get(0), executor.ids().get(1));
    }
  }

  /** Guards against a result that is handed on before its connection takes another call. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void callersThatGoOnAtOnceOpenNoMoreConnectionsThanCallsInFlight(int callers) throws IOException {
    try (ScriptedExecutor executor = new ScriptedExecutor(HttpExecutorClientTest::own)) {
      List<CompletableFuture<Integer>> answered =
          IntStream.range(0, callers).mapToObj(i -> callInTurn(executor, CALLS_IN_TURN)).toList();
      for (CompletableFuture<Integer> each : answered) {
        assertEquals(CALLS_IN_TURN, each.join());
      }
      int opened = executor.connections();
      assertTrue(opened <= callers, () -> opened + " connections for " + callers + " callers");
      assertEquals(callers * CALLS_IN_TURN, Set.copyOf(executor.ids()).size());
      assertEquals(callers * CALLS_IN_TURN, executor.ids().size());
    }
  }

  /** Makes each call with the result of the one before; returns how many were answered. */
  private CompletableFuture<Integer> callInTurn(ScriptedExecutor executor, int calls) {
    if (calls == 0) {
      return CompletableFuture.completedFuture(0);
    }
    return client
        .execute(executor.address(), REQUEST, LONG)
        .thenCompose(
            result ->
                callInTurn(executor, calls - 1)
                    .thenApply(rest -> rest + (result instanceof ExecutorResult.Answered ? 1 : 0)));
  }

  @Test
  void aCrossedAnswerIsLostAndItsConnectionIsNotUsedAgain() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor((call, id, out) -> own(call, call == 1 ? "another" : id, out))) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
      assertAnswer("own 2", call(executor, LONG));
      assertEquals(2, executor.connections());
    }
  }

  @Test
  void aCutAnswerIsLost() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, 100, "cut");
              return false;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
    }
  }

  @Test
  void anAnswerWithoutALengthIsLostSinceItMayBeCut() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, -1, "half of it");
              return false;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
    }
  }

  @Test
  void aDoubledAnswerNeverReachesTheNextCaller() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              own(call, id, out);
              return own(call, id, out);
            })) {
      assertAnswer("own 1", call(executor, LONG));
      for (int call = 2; call <= 5; call++) {
        if (call(executor, LONG) instanceof ExecutorResult.Answered answered) {
          assertAnswer("own " + executor.ids().size(), answered);
        }
      }
    }
  }

  @Test
  void aLateAnswerNeverReachesTheNextCaller() throws IOException {
    CountDownLatch timedOut = new CountDownLatch(1);
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              if (call == 1) {
                timedOut.await();
              }
              return own(call, id, out);
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, SHORT));
      timedOut.countDown();
      assertAnswer("own 2", call(executor, LONG));
    }
  }

  @Test
  void onlyARefusalOfThisVeryRequestMeansNotStarted() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              String echoed = call == 1 ? id : call == 2 ? "another" : "";
              ScriptedExecutor.write(out, "503 Service Unavailable", echoed, 0, "");
              return true;
            })) {
      assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, LONG));
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
    }
  }

  @Test
  void anExecutorThatCannotBeReachedSurelyDidNotStart() throws IOException {
    ScriptedExecutor executor = new ScriptedExecutor(HttpExecutorClientTest::own);
    executor.close();
    assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, LONG));
  }

  @Test
  void nothingIsSentOnceTheTimeIsOver() throws IOException {
    try (ScriptedExecutor executor = new ScriptedExecutor(HttpExecutorClientTest::own)) {
      assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, Duration.ofNanos(-1)));
      assertEquals(0, executor.connections());
    }
  }

  @Test
  void aConnectionThatClosesWithoutAnAnswerMayHaveRun() throws IOException {
    try (ScriptedExecutor executor = new ScriptedExecutor((call, id, out) -> false)) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
    }
  }

  @Test
  void anAnswerOverTheLimitIsLost() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, 2000, "x".repeat(2000));
              return true;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG));
    }
  }

  private static boolean own(int call, String id, OutputStream out) throws IOException {
    String body = "own " + call;
    ScriptedExecutor.write(out, "200 OK", id, body.length(), body);
    return true;
  }

  private ExecutorResult call(ScriptedExecutor executor, Duration timeout) {
    return client.execute(executor.address(), REQUEST, timeout).join();
  }

  private static void assertAnswer(String body, ExecutorResult result) {
    ExecutorResult.Answered answered = assertInstanceOf(ExecutorResult.Answered.class, result);
    assertEquals(body, new String(answered.body(), StandardCharsets.US_ASCII));
  }
}
