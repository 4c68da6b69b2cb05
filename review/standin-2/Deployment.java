package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: the store in this process, entries as the deploy file starts them, and
 * executors, each in a process of its own. All processes are ended with it.
 */
final class Deployment implements AutoCloseable {
  static final int RULE_HELD = 0;

  /** Not 1, with which a Java program also ends after an exception; run.sh turns it into 1. */
  static final int RULE_BROKEN = 11;

  static final int CANNOT_RUN = 2;
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;
  private static final long MAX_RUN_MILLIS = 112_000;
  private static final String HOST = "nony24.example";

  /** An answer of an entry to a consumer. Status 0: none. */
  record Answer(int status, String body, long tookMillis) {}

  /** A process of the system. */
  record Entry(String name, String front, String ready, Process process) {}

  final Record record;
  final Store store;
  final Path recordFile;
  final Path scratch;
  final Map<String, Entry> entries = new LinkedHashMap<>();
  final Map<String, Process> executors = new LinkedHashMap<>();
  private final Path root = Path.of("").toAbsolutePath();
  private final String fullJava = Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(2)).build();

  Deployment(Path recordFile, Path scratch) throws IOException {
    this.recordFile = recordFile;
    this.scratch = scratch;
    Files.deleteIfExists(recordFile);
    record = new Record(recordFile);
    store = new Store(record, 4);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread.ofPlatform().daemon().start(this::endInTime);
    Thread.currentThread()
        .setUncaughtExceptionHandler(
            (thread, failure) -> System.exit(verdict(CANNOT_RUN, failure.toString())));
  }

  /** Writes the manifest. Each route is a queue: its name, service, priority and maximum number of attempts. */
  void writeManifest(long version, String service, Object[]... queues) throws IOException {
    writeManifest(version, service, true, queues);
  }

  /** Writes the manifest for executors that guard their capacity, or that don't. */
  void writeManifest(long version, String service, boolean guards, Object[]... queues) throws IOException {
    ObjectNode manifest = Http.json().createObjectNode().put("version", version);
    ArrayNode routes = manifest.putArray("routes");
    for (Object[] queue : queues) {
      routes
          .addObject()
          .put("name", (String) queue[0])
          .put("host", HOST)
          .put("path_prefix", prefix((String) queue[0]))
          .put("service", service)
          .put("priority", (int) queue[1])
          .put("max_attempts", (int) queue[2])
          .put("slack_factor", 2.0)
          .put("target_duration_ms", 1_000);
    }
    manifest.putArray("services").addObject().put("name", service).put("enforces_capacity", guards);
    manifest.putObject("limits").put("body_bytes", 262_144);
    store.put("keyed.op", "config", Http.json().writeValueAsBytes(manifest));
    record.line("operator", "manifest " + version);
  }

  static String prefix(String queue) {
    return "/" + queue + "/";
  }

  /** Returns a free port below those that the system gives to outgoing connections, so that it stays free. */
  static int freePort() throws IOException {
    for (int i = 0; i < 1_000; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return socket.getLocalPort();
      } catch (IOException e) {
        // in use; the next one may be free
      }
    }
    throw new IOException("no free port");
  }

  /** Starts an entry with the command of the deploy file and settings like those that DEPLOY.md shows. */
  void startEntry(String name, String storeAddress) throws IOException {
    int front = freePort();
    int ready = freePort();
    int peer = freePort();
    int metrics = freePort();
    String settings =
        """
        node_name = "%s"
        role = "entry"
        machine_class = "frontend"
        serves = ["frontend"]
        ip = "127.0.0.1"
        zone = "zone-1"
        region = "region-1"
        internal_ports = [%d,%d]
        seeds = []
        bootstrap = true
        discovery = "platform"
        entry = "vip"
        heartbeat_ms = 1500
        contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
        orders = "call"
        [zones]
        zone-1 = "region-1"
        [listen]
        front = "127.0.0.1:%d"
        ready = "127.0.0.1:%d"
        [limits]
        cpu_share = 0.75
        cores = 1
        memory_mb = 430
        max_fds = 4100
        link_mbps = 1000.0
        disk_mb = 0
        [bounds]
        stability_window_ms = 3000
        ack_ms = 4000
        drain_ms = 2000
        grace_s = 6
        config_apply_ms = 2000
        hold_max_ms = 6000
        stop_timeout_ms = 200
        gang_timeout_ms = 3000
        cancel_ms = 3000
        visible_ms = 3000
        finish_s = 14
        status_s = 120
        checkpoint_interval_s = 2
        notice_ms = 4500
        lease_ms = 3000
        thaw_slack_ms = 300
        [platform]
        address = "%s"
        form = "log"
        writes_per_s = 800
        reads_per_s = 2000
        parts = 16
        record_bytes = 262144
        call_bytes = 2097152
        keep_s = 300
        part_mb = 200
        ttl_min_ms = 1000
        """
            .formatted(name, peer, metrics, front, ready, storeAddress);
    Path file = scratch.resolve(name + ".toml");
    Files.writeString(file, settings);
    ProcessBuilder builder = new ProcessBuilder(deployCommand());
    builder.directory(root.toFile());
    builder.environment().clear();
    for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      String value = System.getenv(variable);
      if (value != null) {
        builder.environment().put(variable, value);
      }
    }
    builder.environment().put("LAVENDERSTAGE_NODE_FILE", file.toString());
    File log = scratch.resolve(name + ".log").toFile();
    Process process = builder.redirectErrorStream(true).redirectOutput(log).start();
    entries.put(name, new Entry(name, "127.0.0.1:" + front, "127.0.0.1:" + ready, process));
    record.line(name, "started, log " + log.getName());
  }

  private List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file has no command");
  }

  void startExecutor(String id, String service, String rack, int port, String... advertised) throws IOException {
    startExecutor(List.of(), id, service, rack, port, advertised);
  }

  /** Starts an executor with properties, for example {@code -Dcpu=48000} or {@code -Dunguarded=true}. */
  void startExecutor(
      List<String> properties, String id, String service, String rack, int port, String... advertised)
      throws IOException {
    List<String> command = new ArrayList<>(List.of(fullJava, "-Xmx64m", "-XX:+UseSerialGC"));
    command.addAll(properties);
    command.addAll(
            List.of(
                "-cp",
                System.getProperty("java.class.path"),
                "review2.Executor",
                id,
                service,
                rack,
                store.address(),
                recordFile.toString(),
                Integer.toString(port)));
    command.addAll(List.of(advertised));
    File log = scratch.resolve(id + ".log").toFile();
    executors.put(id, new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start());
  }

  /** Waits until all entries say that they are ready and an entry has a manifest. */
  boolean awaitReady(long seconds) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < until) {
      boolean all = entries.values().stream().allMatch(entry -> status(entry.ready(), "/readyz") == 200);
      if (all) {
        return true;
      }
      Http.sleep(200);
    }
    return false;
  }

  private int status(String address, String path) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(Duration.ofSeconds(1)).build();
      return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  /** Sends a consumer's call to an entry and writes the call and its answer to the record. */
  Answer call(String entry, String method, String queue, String job, String body) {
    long started = System.nanoTime();
    Answer answer;
    try {
      answer = rawCall(entries.get(entry).front(), method, prefix(queue) + job, body, started);
    } catch (IOException e) {
      answer = new Answer(0, e.toString(), (System.nanoTime() - started) / 1_000_000);
    }
    record.line(
        "consumer",
        method + " " + queue + "/" + job + " at " + entry + " -> " + answer.status() + " " + brief(answer.body())
            + " after " + answer.tookMillis() + " ms");
    return answer;
  }

  private static String brief(String text) {
    return text.length() > 100 ? text.substring(0, 100) + "..." : text;
  }

  /** A plain HTTP/1.1 call on a channel of its own; the header Host selects the route. */
  private static Answer rawCall(String address, String method, String path, String body, long started)
      throws IOException {
    int colon = address.indexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    try (java.net.Socket socket = new java.net.Socket()) {
      socket.connect(new java.net.InetSocketAddress(InetAddress.getByName(address.substring(0, colon)), port), 2_000);
      socket.setSoTimeout(3_500);
      byte[] bytes = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\n"
              + "Connection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
      String text =
          new String(socket.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
      if (!text.startsWith("HTTP/1.1 ")) {
        throw new IOException("no answer");
      }
      int end = text.indexOf("\r\n\r\n");
      return new Answer(
          Integer.parseInt(text.substring(9, 12)), text.substring(end + 4), (System.nanoTime() - started) / 1_000_000);
    }
  }

  /** Hands a job in as PROTOCOL.md says: again after 429 or 503, and with the same name after no answer, 502 or 504. */
  boolean submit(String queue, String job, String body, long millis) {
    long until = System.nanoTime() + millis * 1_000_000;
    List<String> names = List.copyOf(entries.keySet());
    for (int i = 0; System.nanoTime() < until; i++) {
      Answer answer = call(names.get(i % names.size()), "POST", queue, job, body);
      if (answer.status() / 100 == 2) {
        return true;
      }
      Http.sleep(300);
    }
    return false;
  }

  static String jobName(int number) {
    return String.format("%016x", 0xabc0000000000000L + number);
  }

  /** Reads the lines of the record so far. */
  List<String> lines() throws IOException {
    return Files.readAllLines(recordFile);
  }

  /** Returns the entry that owned the jobs last, by the logs of the entries; empty if none has. */
  String owner() throws IOException {
    String owner = "";
    long highest = 0;
    for (String name : entries.keySet()) {
      for (String line : Files.readAllLines(scratch.resolve(name + ".log"))) {
        String mark = "\"name\":\"owner-claimed\",\"term\":\"";
        int at = line.indexOf(mark);
        if (at >= 0) {
          String rest = line.substring(at + mark.length());
          long term = Long.parseLong(rest.substring(0, rest.indexOf('"')));
          owner = term > highest ? name : owner;
          highest = Math.max(highest, term);
        }
      }
    }
    return owner;
  }

  /**
   * Looks for gaps of lasting tasks that break LOST: nothing runs for 3 s, from 6 s after the last run and from a time
   * on at which the 4 s before were calm.
   *
   * @return the number of such gaps, and the length of the longest gap at all in milliseconds
   */
  long[] lastingGaps(String job, int tasks, long calmSinceMillis) throws IOException {
    long longest = 0;
    long broken = 0;
    for (int i = 0; i < tasks; i++) {
      String task = " " + job + ".0.0." + i + " ";
      long lastEnd = 0;
      List<long[]> gaps = new ArrayList<>();
      for (String line : lines()) {
        long millis = Long.parseLong(line.substring(0, line.indexOf(' ')));
        if (line.contains(" end" + task)) {
          lastEnd = millis;
        } else if (line.contains(" start" + task) && lastEnd > 0) {
          gaps.add(new long[] {lastEnd, millis});
          lastEnd = 0;
        }
      }
      if (lastEnd > 0) {
        gaps.add(new long[] {lastEnd, System.currentTimeMillis()});
      }
      for (long[] gap : gaps) {
        longest = Math.max(longest, gap[1] - gap[0]);
        if (gap[1] >= Math.max(gap[0] + 6_000, calmSinceMillis) + 3_000) {
          broken++;
        }
      }
    }
    return new long[] {broken, longest};
  }

  /** Writes the verdict, ends all processes and returns the exit code of the case. */
  int verdict(int code, String why) {
    record.line("verdict", (code == RULE_BROKEN ? "broken: " : code == RULE_HELD ? "held: " : "not run: ") + why);
    System.out.println((code == RULE_BROKEN ? "broken: " : code == RULE_HELD ? "held: " : "not run: ") + why);
    close();
    return code;
  }

  private void endInTime() {
    Http.sleep(MAX_RUN_MILLIS);
    System.exit(verdict(CANNOT_RUN, "the case took too long"));
  }

  private void endProcesses() {
    entries.values().forEach(entry -> entry.process().destroyForcibly());
    executors.values().forEach(Process::destroyForcibly);
  }

  @Override
  public void close() {
    endProcesses();
    store.close();
  }
}
