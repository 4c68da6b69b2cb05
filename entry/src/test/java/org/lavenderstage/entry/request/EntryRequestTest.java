package org.lavenderstage.entry.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.beust.jcommander.JCommander;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;
import org.lavenderstage.core.sheet.SheetText;
import org.lavenderstage.entry.Entry;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.executor.RunLedger;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.standin.log.FakeLogServer;
import org.lavenderstage.standin.vmlist.FakeVmListServer;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.http.ResultBody;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;
import org.lavenderstage.wire.settings.EntrySettings;
import org.lavenderstage.wire.settings.SettingsReader;

/** Tests the HTTP interface for callers on two complete entries over loopback. */
class EntryRequestTest {
  private static final int BODY_LIMIT = 1000;
  private static final long AWAIT_TIMEOUT_NANOS = Duration.ofSeconds(30).toNanos();
  private static final String TOKEN = "token";
  private static final String ORDERS = "/v1/workspaces/plant/services/orders/requests";
  private static final String READS = "/v1/workspaces/plant/services/reads/requests";
  private static final String SHEET =
      """
      kind,name,rank,share,quota-cpu-millis,quota-memory-mb,quota-accelerators,token-sha256,idempotent,timeout-millis,service,batch-class,rule
      workspace,plant,0,1,1000,1000,1,%s,,,,,
      service,reads,0,,,,,,yes,5000,,,
      service,orders,0,,,,,,no,5000,,,
      """
          .formatted(StateDigest.sha256Hex(TOKEN));

  private static final FaultSwitch LOG_FAULTS = new FaultSwitch();
  private static final FaultSwitch EXECUTOR_FAULTS = new FaultSwitch();
  private static final RunLedger RUNS = new RunLedger();
  private static FakeLogServer log;
  private static FakeVmListServer vms;
  private static FakeExecutorServer executor;
  private static Entry first;
  private static Entry second;

  @BeforeAll
  static void start() throws PlatformUnavailableException {
    log = new FakeLogServer(0, Duration.ofHours(1).toMillis(), LOG_FAULTS, 1);
    vms = new FakeVmListServer(0, new FaultSwitch());
    executor = new FakeExecutorServer(0, 8, 0, RUNS, EXECUTOR_FAULTS, 1);
    publish();
    vms.put(vm("x1", executor.address(), VmRole.EXECUTOR, "orders"));
    vms.put(vm("x2", executor.address(), VmRole.EXECUTOR, "reads"));
    first = entry("e1");
    second = entry("e2");
    await(() -> first.dump().members().size() == 2 && second.dump().members().size() == 2);
    await(() -> isServing(first) && isServing(second));
  }

  @AfterAll
  static void stop() {
    first.kill();
    second.kill();
    executor.close();
    vms.close();
    log.close();
  }

  private static void publish() throws PlatformUnavailableException {
    HttpLog client = new HttpLog(log.address(), Duration.ofSeconds(5));
    String text = SheetText.of(SheetReader.read(SHEET).sheet().orElseThrow()).text();
    List<LedgerRecord> records =
        List.of(
            new SheetPart("s", 0, text),
            new SheetCommitted("s", 1, StateDigest.sha256Hex(text), 0, "operator"));
    client.append(Entry.CONFIG_STREAM, LedgerCodec.encode(RecordBatch.of("ctl", 1, records)));
  }

  private static Entry entry(String vm) {
    EntrySettings.Flags flags = new EntrySettings.Flags();
    JCommander.newBuilder()
        .addObject(flags)
        .build()
        .parse(
            "--vm", vm,
            "--domain", "a",
            "--http-port", "0",
            "--admin-port", "0",
            "--peer-port", "0",
            "--heartbeat-millis", "100",
            "--body-limit-bytes", String.valueOf(BODY_LIMIT),
            "--log-address", log.address(),
            "--vm-list-address", vms.address());
    Entry entry = new Entry(EntrySettings.of(SettingsReader.read(flags, Map.of()).get()));
    vms.put(vm(vm, entry.addresses().peer(), VmRole.ENTRY, ""));
    return entry;
  }

  private static VmEntry vm(String id, String address, VmRole role, String service) {
    return new VmEntry(id, address, "a", "r", role, false, 0, 0, 0, service);
  }

  private static void await(BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "condition not met in time");
      Thread.onSpinWait();
    }
  }

  private static boolean isServing(Entry entry) {
    return post(entry, READS, "", "ping").status().code() == 200;
  }

  private static boolean acceptsOrders(Entry entry) {
    return post(entry, ORDERS, key(0), "order").status().code() == 200;
  }

  @Test
  void rejectionHasStatusAndCodeAndNoStackTrace() {
    String expiredKey = key(-Duration.ofHours(2).toMillis());
    String futureKey = key(Duration.ofHours(2).toMillis());
    String tooLargeBody = "x".repeat(BODY_LIMIT + 1);
    expect(400, "LS-2001", post(first, ORDERS, "", "x"));
    expect(400, "LS-2001", post(first, ORDERS, UUID.randomUUID().toString(), "x"));
    expect(409, "LS-2006", post(first, ORDERS, expiredKey, "x"));
    expect(409, "LS-2006", post(first, ORDERS, futureKey, "x"));
    expect(413, "LS-2005", post(first, ORDERS, key(0), tooLargeBody));
    expect(413, "LS-2005", post(first, READS, "", tooLargeBody));
    expect(404, "LS-2003", post(first, ORDERS.replace("orders", "none"), key(0), "x"));
    expect(401, "LS-2002", post(first, ORDERS.replace("plant", "none"), key(0), "x"));
    expect(404, "LS-2200", post(first, "/v2/none", key(0), "x"));
    expect(401, "LS-2002", send(first, request(ORDERS).set("authorization", "Bearer no"), "x"));
    expect(400, "LS-2000", send(first, request(READS).set(Headers.TIMEOUT_MILLIS, "0"), "x"));
    expect(405, "LS-2201", send(first, request(READS).method(HttpMethod.PUT), "x"));
    assertEquals(0, RUNS.runs("plant", expiredKey) + RUNS.runs("plant", futureKey));
  }

  private static void expect(int status, String code, AggregatedHttpResponse response) {
    assertEquals(status, response.status().code(), response::contentUtf8);
    assertEquals(code, response.headers().get(Headers.CODE));
    ResultBody body = body(response);
    assertEquals(code, body.code());
    assertEquals(body.outcome(), response.headers().get(Headers.OUTCOME));
    assertFalse(response.contentUtf8().contains("Exception"), response::contentUtf8);
  }

  private static ResultBody body(AggregatedHttpResponse response) {
    try {
      return JsonCodec.decode(response.content().array(), ResultBody.class);
    } catch (MalformedMessageException e) {
      throw new AssertionError(response.contentUtf8(), e);
    }
  }

  @Test
  void repeatedRequestGetsAnswerOfItsOnlyRunFromAnyEntryInAnyKeyCase() {
    String key = key(0);
    AggregatedHttpResponse original = post(first, ORDERS, key, "order");
    assertEquals("answered", original.headers().get(Headers.OUTCOME), original::contentUtf8);
    assertEquals(
        FakeExecutorServer.answerBody("plant", "order".getBytes(StandardCharsets.UTF_8)),
        original.contentUtf8());
    String upperCaseKey = key.toUpperCase(Locale.ROOT);
    for (String repeatedKey : List.of(key, upperCaseKey)) {
      for (Entry entry : List.of(first, second)) {
        AggregatedHttpResponse repeated = post(entry, ORDERS, repeatedKey, "order");
        assertEquals("answered", repeated.headers().get(Headers.OUTCOME), repeated::contentUtf8);
        assertEquals(original.contentUtf8(), repeated.contentUtf8());
      }
    }
    assertEquals(1, RUNS.runs("plant", key));
  }

  @Test
  void nonIdempotentRequestWithAnswerOfAnotherIsUnknownAndNotRunAgain() {
    String key = key(0);
    EXECUTOR_FAULTS.set(FaultSwitch.Kind.CROSS_ANSWERS, 100);
    AggregatedHttpResponse mismatched = post(first, ORDERS, key, "order");
    EXECUTOR_FAULTS.set(FaultSwitch.Kind.CROSS_ANSWERS, 0);
    expect(502, "LS-4000", mismatched);
    expect(409, "LS-4001", post(first, ORDERS, key, "order"));
    expect(409, "LS-4001", post(second, ORDERS, key, "order"));
    assertEquals(1, RUNS.runs("plant", key));
  }

  @Test
  void onlyIdempotentRequestsAreAcceptedWhileLogIsUnavailable() {
    String key = key(0);
    LOG_FAULTS.set(FaultSwitch.Kind.DOWN, 1);
    try {
      AggregatedHttpResponse rejected = post(first, ORDERS, key, "order");
      assertEquals(503, rejected.status().code());
      assertEquals("not-accepted", rejected.headers().get(Headers.OUTCOME));
      assertEquals("1", rejected.headers().get("retry-after"));
      expect(503, "LS-3003", post(first, ORDERS, key(0), "order"));
      assertEquals(200, post(first, READS, "", "read").status().code());
      assertEquals(0, RUNS.runs("plant", key));
    } finally {
      LOG_FAULTS.set(FaultSwitch.Kind.DOWN, 0);
    }
    await(() -> acceptsOrders(first) && acceptsOrders(second));
  }

  @Test
  void ordersAreAcceptedAgainAfterLostAppendReplies() {
    LOG_FAULTS.set(FaultSwitch.Kind.LOSE_ANSWERS, 50);
    for (int i = 0; i < 10; i++) {
      post(first, ORDERS, key(0), "order");
    }
    LOG_FAULTS.set(FaultSwitch.Kind.LOSE_ANSWERS, 0);
    await(() -> acceptsOrders(first) && acceptsOrders(second));
  }

  private static String key(long offsetMillis) {
    long random = UUID.randomUUID().getLeastSignificantBits();
    return new UUID(((System.currentTimeMillis() + offsetMillis) << 16) | 0x7000, random)
        .toString();
  }

  private static RequestHeadersBuilder request(String path) {
    return RequestHeaders.builder(HttpMethod.POST, path)
        .add("authorization", "Bearer " + TOKEN)
        .add("content-type", "text/plain");
  }

  private static AggregatedHttpResponse post(Entry entry, String path, String key, String body) {
    return send(entry, request(path).add(Headers.IDEMPOTENCY_KEY, key), body);
  }

  private static AggregatedHttpResponse send(
      Entry entry, RequestHeadersBuilder headers, String body) {
    return WebClient.builder("http://" + entry.addresses().http())
        .responseTimeout(Duration.ofSeconds(20))
        .build()
        .execute(headers.build(), body)
        .aggregate()
        .join();
  }
}
