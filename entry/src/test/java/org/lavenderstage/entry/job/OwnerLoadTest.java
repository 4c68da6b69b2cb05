package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.pool.Order;
import org.lavenderstage.core.pool.OrderResult;

class OwnerLoadTest {
  private static final long MILLI = 1_000_000;

  private long nowMillis;

  @Test
  void summarizesPartsAndPausesOncePerSecond() {
    OwnerLoad load = new OwnerLoad(() -> nowMillis * MILLI);

    nowMillis = 40;
    load.beginRound(7);
    nowMillis = 50;
    load.endPart(OwnerLoad.Part.EVENTS, 7);
    nowMillis = 80;
    load.endPart(OwnerLoad.Part.SCHEDULING, 3);
    nowMillis = 85;
    load.endPart(OwnerLoad.Part.SENDING, 3);
    CompletableFuture<OrderResult> answer = new CompletableFuture<>();
    CompletableFuture<OrderResult> pollAnswer = new CompletableFuture<>();
    CompletableFuture<OrderResult> timedAnswer =
        load.timeAnswer(new Order.StopUntracked(null, null, 1, 0), answer);
    CompletableFuture<OrderResult> timedPollAnswer =
        load.timeAnswer(new Order.Poll(null, 0, 0, 0, 0, 0), pollAnswer);
    nowMillis = 86;
    Optional<Object[]> first = load.summarizeRound(20);
    nowMillis = 120;
    answer.complete(new OrderResult.Accepted(0));
    nowMillis = 990;
    pollAnswer.complete(new OrderResult.Accepted(0));
    load.beginRound(2);
    nowMillis = 995;
    load.endPart(OwnerLoad.Part.EVENTS, 2);
    nowMillis = 1_000;
    Optional<Object[]> second = load.summarizeRound(5);

    assertTrue(first.isEmpty());
    assertEquals(new OrderResult.Accepted(0), timedAnswer.join());
    assertEquals(new OrderResult.Accepted(0), timedPollAnswer.join());
    assertEquals(
        Map.ofEntries(
            Map.entry("interval-ms", 1_000L),
            Map.entry("rounds", 2L),
            Map.entry("longest-round-ms", 46L),
            Map.entry("longest-pause-ms", 904L),
            Map.entry("longest-queue", 7L),
            Map.entry("longest-append-ms", 20L),
            Map.entry("longest-answer-ms", 35L),
            Map.entry("events", 9L),
            Map.entry("orders", 3L),
            Map.entry("events-ms", 15L),
            Map.entry("scheduling-ms", 30L),
            Map.entry("sending-ms", 5L),
            Map.entry("journal-ms", 6L)),
        toMap(second.orElseThrow()));
  }

  @Test
  void beginsAnewAfterEachSummary() {
    OwnerLoad load = new OwnerLoad(() -> nowMillis * MILLI);
    load.beginRound(100);
    nowMillis = 900;
    load.endPart(OwnerLoad.Part.EVENTS, 100);
    nowMillis = 1_000;
    load.summarizeRound(0);

    nowMillis = 1_010;
    load.beginRound(1);
    nowMillis = 1_011;
    load.endPart(OwnerLoad.Part.EVENTS, 1);
    nowMillis = 2_000;
    Map<String, Object> summary = toMap(load.summarizeRound(0).orElseThrow());

    assertEquals(
        Map.ofEntries(
            Map.entry("interval-ms", 1_000L),
            Map.entry("rounds", 1L),
            Map.entry("longest-round-ms", 990L),
            Map.entry("longest-pause-ms", 10L),
            Map.entry("longest-queue", 1L),
            Map.entry("longest-append-ms", 0L),
            Map.entry("longest-answer-ms", 0L),
            Map.entry("events", 1L),
            Map.entry("orders", 0L),
            Map.entry("events-ms", 1L),
            Map.entry("scheduling-ms", 0L),
            Map.entry("sending-ms", 0L),
            Map.entry("journal-ms", 989L)),
        summary);
  }

  private static Map<String, Object> toMap(Object[] namesAndValues) {
    Map<String, Object> map = new HashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }
}
