package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Starts entries with the command of the deploy file, each with a settings file of its own. */
final class Deployment implements AutoCloseable {
  private static final int MIN_PORT = 15_000;
  private static final int MAX_PORT = 32_000;

  private final Path root;
  private final Path folder;
  private final String storeAddress;
  private final Transcript transcript;
  private final List<String> command;
  private final List<Entry> entries = new ArrayList<>();

  /** An entry; its process changes when it is started again. */
  static final class Entry {
    final String name;
    final int front;
    final int ready;
    private final int peer;
    private final int metrics;
    Process process;
    private int starts;

    Entry(String name, int[] ports) {
      this.name = name;
      front = ports[0];
      ready = ports[1];
      peer = ports[2];
      metrics = ports[3];
    }
  }

  Deployment(Path root, String storeAddress, Transcript transcript) throws IOException {
    this.root = root;
    this.storeAddress = storeAddress;
    this.transcript = transcript;
    folder = Files.createTempDirectory("review");
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    command = List.of(run.group(1).split(" +"));
  }

  /** Returns free ports, outside the range that outgoing connections use. */
  private static int[] freePorts(int count) {
    int[] ports = new int[count];
    int found = 0;
    while (found < count) {
      int port = ThreadLocalRandom.current().nextInt(MIN_PORT, MAX_PORT);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        ports[found++] = socket.getLocalPort();
      } catch (IOException e) {
        // this one is in use
      }
    }
    return ports;
  }

  Entry start(String name) throws IOException {
    Entry entry = new Entry(name, freePorts(4));
    entries.add(entry);
    start(entry);
    return entry;
  }

  /** Starts the process of an entry, for the first time or again. */
  void start(Entry entry) throws IOException {
    Path settings = folder.resolve(entry.name + ".toml");
    Files.writeString(settings, settings(entry));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("LAVENDERSTAGE_NODE_FILE", settings.toString());
    Path log = folder.resolve(entry.name + "-" + ++entry.starts + ".log");
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    entry.process = builder.start();
    transcript.write("case", "started " + entry.name + " as process " + entry.process.pid());
  }

  /** The settings that kkk-arusha has, on loopback addresses. */
  private String settings(Entry entry) {
    return """
        node_name = "%s"
        role = "entry"
        machine_class = "frontend"
        serves = ["frontend"]
        ip = "127.0.0.1"
        zone = "zone-a"
        region = "region-a"
        internal_ports = [%d,%d]
        heartbeat_ms = 1500
        discovery = "platform"
        entry = "vip"
        orders = "call"
        [zones]
        zone-a = "region-a"
        [listen]
        front = "127.0.0.1:%d"
        ready = "127.0.0.1:%d"
        [limits]
        cpu_share = 0.75
        cores = 1
        memory_mb = 430
        max_fds = 4100
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
        restore_ms = 250
        fencing_enforced = true
        lease_ms = 3000
        thaw_slack_ms = 300
        [platform]
        address = "%s"
        form = "log"
        append_ms = 3.0
        part_mb_per_s = 20.0
        record_bytes = 262144
        call_bytes = 2097152
        keep_s = 300
        """
        .formatted(entry.name, entry.peer, entry.metrics, entry.front, entry.ready, storeAddress);
  }

  /** Waits until each entry reports itself ready. */
  void awaitReady(long untilMillis) throws InterruptedException, IOException {
    for (Entry entry : entries) {
      while (true) {
        if (!entry.process.isAlive() || Transcript.nowMillis() > untilMillis) {
          throw new IOException(entry.name + " is not ready");
        }
        try (var socket = new java.net.Socket(InetAddress.getLoopbackAddress(), entry.ready)) {
          socket.setSoTimeout(1_000);
          socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes());
          if (new String(socket.getInputStream().readAllBytes()).startsWith("HTTP/1.1 200")) {
            break;
          }
        } catch (IOException e) {
          // it does not listen yet
        }
        Thread.sleep(100);
      }
    }
  }

  int[] fronts() {
    return entries.stream().mapToInt(e -> e.front).toArray();
  }

  List<Entry> entries() {
    return entries;
  }

  Path folder() {
    return folder;
  }

  @Override
  public void close() {
    for (Entry entry : entries) {
      entry.process.destroyForcibly();
    }
    for (Entry entry : entries) {
      try {
        entry.process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // a temporary folder may stay
    }
  }
}
