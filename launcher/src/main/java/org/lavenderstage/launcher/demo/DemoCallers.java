package org.lavenderstage.launcher.demo;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.core.outcome.Outcome;
import org.lavenderstage.entry.Entry;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.http.JobRequest;

/**
 * Simulates the callers of one deployment: sends requests and jobs at a fixed rate, without waiting
 * for earlier answers, to the entries in turn.
 */
final class DemoCallers {
  private static final int REQUESTS_PER_SECOND = 250;
  private static final int NON_IDEMPOTENT_PERCENT = 10;
  private static final int REQUESTS_PER_JOB = 25;
  private static final int PERCENT = 100;
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long NANOS_PER_MICRO = 1000;
  private static final int KEY_VERSION_SHIFT = 16;
  private static final long KEY_VERSION = 0x7000;
  private static final long KEY_VARIANT = 0x8000_0000_0000_0000L;
  private static final long KEY_VARIANT_MASK = 0x3fff_ffff_ffff_ffffL;

  private final DemoDeployment deployment;
  private final DemoStatistics statistics;
  private final UniformRandomProvider random;
  private long sent;

  DemoCallers(DemoDeployment deployment, DemoStatistics statistics, long seed) {
    this.deployment = deployment;
    this.statistics = statistics;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  void run(int seconds) throws InterruptedException {
    long loopStartNanos = System.nanoTime();
    long total = (long) seconds * REQUESTS_PER_SECOND;
    long gapNanos = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_SECOND;
    for (sent = 0; sent < total; sent++) {
      long dueNanos = loopStartNanos + sent * gapNanos;
      TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
      sendRequest();
      if (sent % REQUESTS_PER_JOB == 0) {
        sendJob();
      }
    }
  }

  private void sendRequest() {
    DemoSpec spec = deployment.spec();
    DemoSpec.Caller caller = pick(spec.callers());
    boolean nonIdempotent = random.nextInt(PERCENT) < NON_IDEMPOTENT_PERCENT;
    String service = nonIdempotent ? spec.nonIdempotentService() : spec.idempotentService();
    String path = "/v1/workspaces/" + caller.workspace() + "/services/" + service + "/requests";
    byte[] body = ("request " + sent + " " + random.nextLong()).getBytes(StandardCharsets.UTF_8);
    RequestHeadersBuilder headers = headers(caller, path);
    if (nonIdempotent) {
      headers.add(Headers.IDEMPOTENCY_KEY, newKey());
    }
    String expected = FakeExecutorServer.answerBody(caller.workspace(), body);
    long startNanos = System.nanoTime();
    var unused =
        client()
            .execute(HttpRequest.of(headers.build(), HttpData.wrap(body)))
            .aggregate()
            .handle(
                (response, failure) -> {
                  record(response, expected, startNanos);
                  return response;
                });
  }

  private void record(AggregatedHttpResponse response, String expected, long startNanos) {
    if (response == null) {
      statistics.recordOutcome(Outcome.UNKNOWN, 0);
      return;
    }
    String header = response.headers().get(Headers.OUTCOME, "");
    Outcome outcome =
        Arrays.stream(Outcome.values())
            .filter(value -> value.header().equals(header))
            .findAny()
            .orElse(Outcome.UNKNOWN);
    if (outcome == Outcome.ANSWERED && !response.contentUtf8().equals(expected)) {
      statistics.wrong();
    }
    statistics.recordOutcome(outcome, (System.nanoTime() - startNanos) / NANOS_PER_MICRO);
  }

  private void sendJob() {
    DemoSpec spec = deployment.spec();
    DemoSpec.Caller caller = pick(spec.callers());
    JobRequest job =
        new JobRequest(
            spec.batchClass(),
            1000 + random.nextInt(7000),
            1000 + random.nextInt(15000),
            0,
            500 + random.nextInt(2500),
            false,
            "batch work");
    String path = "/v1/workspaces/" + caller.workspace() + "/jobs";
    var unused =
        client()
            .execute(
                HttpRequest.of(headers(caller, path).build(), HttpData.wrap(JsonCodec.encode(job))))
            .aggregate();
  }

  /** Selects the ready entries in turn, as the platform's load balancer does. */
  private WebClient client() {
    List<Entry> ready = deployment.entries().stream().filter(Entry::isReady).toList();
    List<Entry> entries = ready.isEmpty() ? deployment.entries() : ready;
    Entry entry = entries.get((int) (sent % entries.size()));
    return WebClient.builder("http://" + entry.addresses().http()).responseTimeout(TIMEOUT).build();
  }

  private static RequestHeadersBuilder headers(DemoSpec.Caller caller, String path) {
    return RequestHeaders.builder(HttpMethod.POST, path)
        .add("authorization", "Bearer " + caller.token());
  }

  private <T> T pick(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }

  /** Creates a UUIDv7 with the current time. */
  private String newKey() {
    long high = (System.currentTimeMillis() << KEY_VERSION_SHIFT) | KEY_VERSION;
    long low = (random.nextLong() & KEY_VARIANT_MASK) | KEY_VARIANT;
    return new UUID(high, low).toString();
  }
}
