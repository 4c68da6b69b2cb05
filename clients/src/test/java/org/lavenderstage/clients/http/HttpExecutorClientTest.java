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

/** Tests that mismatched, truncated, duplicate and late responses never reach a caller. */
class HttpExecutorClientTest {
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(100);
  private static final int SEQUENTIAL_CALLS = 20;
  private static final ExecutorRequest REQUEST =
      new ExecutorRequest("r", "w", "s", "k", "text/plain", new byte[] {1, 2});

  private final HttpExecutorClient client = new HttpExecutorClient(1000);

  @AfterEach
  void closeTheClient() {
    client.close();
  }

  @Test
  void aCompleteResponseWithTheIdOfTheRequestIsReturned() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(HttpExecutorClientTest::answerToRequest)) {
      assertAnswer("own 1", call(executor, LONG_TIMEOUT));
      assertAnswer("own 2", call(executor, LONG_TIMEOUT));
      assertEquals(1, executor.connections());
      assertNotEquals(executor.ids().get(0), executor.ids().get(1));
    }
  }

  /** Guards against delivering a result before its connection can be reused for another call. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4})
  void callersThatSendTheNextRequestAtOnceOpenNoMoreConnectionsThanCallsInFlight(int callers)
      throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(HttpExecutorClientTest::answerToRequest)) {
      List<CompletableFuture<Integer>> answered =
          IntStream.range(0, callers)
              .mapToObj(i -> callSequentially(executor, SEQUENTIAL_CALLS))
              .toList();
      for (CompletableFuture<Integer> each : answered) {
        assertEquals(SEQUENTIAL_CALLS, each.join());
      }
      int opened = executor.connections();
      assertTrue(opened <= callers, () -> opened + " connections for " + callers + " callers");
      assertEquals(callers * SEQUENTIAL_CALLS, Set.copyOf(executor.ids()).size());
      assertEquals(callers * SEQUENTIAL_CALLS, executor.ids().size());
    }
  }

  /** Makes each call after the result of the previous one; returns the number of responses. */
  private CompletableFuture<Integer> callSequentially(ScriptedExecutor executor, int calls) {
    if (calls == 0) {
      return CompletableFuture.completedFuture(0);
    }
    return client
        .execute(executor.address(), REQUEST, LONG_TIMEOUT)
        .thenCompose(
            result ->
                callSequentially(executor, calls - 1)
                    .thenApply(
                        answeredLater ->
                            answeredLater + (result instanceof ExecutorResult.Answered ? 1 : 0)));
  }

  @Test
  void aMismatchedResponseIsLostAndItsConnectionIsNotReused() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> answerToRequest(call, call == 1 ? "another" : id, out))) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
      assertAnswer("own 2", call(executor, LONG_TIMEOUT));
      assertEquals(2, executor.connections());
    }
  }

  @Test
  void aTruncatedResponseIsLost() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, 100, "cut");
              return false;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
    }
  }

  @Test
  void aResponseWithoutAContentLengthIsLostBecauseItMayBeTruncated() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, -1, "half of it");
              return false;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
    }
  }

  @Test
  void aDuplicateResponseNeverReachesTheNextCaller() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              answerToRequest(call, id, out);
              return answerToRequest(call, id, out);
            })) {
      assertAnswer("own 1", call(executor, LONG_TIMEOUT));
      for (int call = 2; call <= 5; call++) {
        if (call(executor, LONG_TIMEOUT) instanceof ExecutorResult.Answered answered) {
          assertAnswer("own " + executor.ids().size(), answered);
        }
      }
    }
  }

  @Test
  void aLateResponseNeverReachesTheNextCaller() throws IOException {
    CountDownLatch timedOut = new CountDownLatch(1);
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              if (call == 1) {
                timedOut.await();
              }
              return answerToRequest(call, id, out);
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, SHORT_TIMEOUT));
      timedOut.countDown();
      assertAnswer("own 2", call(executor, LONG_TIMEOUT));
    }
  }

  @Test
  void onlyARejectionWithTheIdOfTheRequestMeansNotStarted() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              String echoed = call == 1 ? id : call == 2 ? "another" : "";
              ScriptedExecutor.write(out, "503 Service Unavailable", echoed, 0, "");
              return true;
            })) {
      assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, LONG_TIMEOUT));
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
    }
  }

  @Test
  void aRequestToAnUnreachableExecutorIsNotStarted() throws IOException {
    ScriptedExecutor executor = new ScriptedExecutor(HttpExecutorClientTest::answerToRequest);
    executor.close();
    assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, LONG_TIMEOUT));
  }

  @Test
  void nothingIsSentAfterTheTimeout() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(HttpExecutorClientTest::answerToRequest)) {
      assertInstanceOf(ExecutorResult.NotStarted.class, call(executor, Duration.ofNanos(-1)));
      assertEquals(0, executor.connections());
    }
  }

  @Test
  void aRequestWhoseConnectionClosesWithoutAResponseIsLost() throws IOException {
    try (ScriptedExecutor executor = new ScriptedExecutor((call, id, out) -> false)) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
    }
  }

  @Test
  void aResponseOverTheSizeLimitIsLost() throws IOException {
    try (ScriptedExecutor executor =
        new ScriptedExecutor(
            (call, id, out) -> {
              ScriptedExecutor.write(out, "200 OK", id, 2000, "x".repeat(2000));
              return true;
            })) {
      assertInstanceOf(ExecutorResult.Lost.class, call(executor, LONG_TIMEOUT));
    }
  }

  private static boolean answerToRequest(int call, String id, OutputStream out) throws IOException {
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
