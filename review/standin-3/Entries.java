import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** The entries as processes of the deploy file, each on a loopback address of its own. */
final class Entries implements AutoCloseable {
  /** An answer to a call; status 0 where there was none. */
  record Answer(int status, String body) {}

  private static final Pattern CLAIM = Pattern.compile("\"term\":\"?([0-9]+)");

  private final Path folder;
  private final Path root;
  private final Store store;
  private final Notes notes;
  private final long holdMaxMillis;
  private final int statusSeconds;
  private final List<String> command;
  private final int port;
  private final List<Process> processes = new ArrayList<>();
  private int starts;
  private boolean closed;

  Entries(Path root, Store store, Notes notes, long holdMaxMillis, int statusSeconds)
      throws IOException {
    this.root = root;
    this.store = store;
    this.notes = notes;
    this.holdMaxMillis = holdMaxMillis;
    this.statusSeconds = statusSeconds;
    folder = Files.createTempDirectory("case");
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    command = new ArrayList<>(List.of(run.group(1).split(" ")));
    command.set(0, root.resolve(command.get(0)).toString());
    port = freePorts();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Finds five ports next to each other that are free on the first addresses. */
  private static int freePorts() throws IOException {
    for (int base = 20_000 + (int) (Math.random() * 9_000); ; base += 7) {
      List<ServerSocket> open = new ArrayList<>();
      try {
        for (int i = 0; i < 5; i++) {
          for (int node = 0; node < 9; node++) {
            open.add(new ServerSocket(base + i, 1, InetAddress.getByName(ip(node))));
          }
        }
        return base;
      } catch (IOException e) {
        // in use
      } finally {
        for (ServerSocket socket : open) {
          socket.close();
        }
      }
    }
  }

  static String ip(int node) {
    return "127.0.7." + (11 + node);
  }

  int count() {
    return processes.size();
  }

  /** Starts an entry, or starts one again. */
  synchronized void start(int node) throws IOException {
    if (closed) {
      return;
    }
    Path settings = folder.resolve("settings-" + node + ".toml");
    Files.writeString(
        settings,
        """
        node_name = "frontend-z1-%1$d"
        role = "entry"
        machine_class = "frontend"
        serves = ["frontend"]
        ip = "%2$s"
        zone = "z1"
        region = "r"
        internal_ports = [%6$d,%7$d]
        seeds = []
        bootstrap = true
        discovery = "platform"
        entry = "vip"
        heartbeat_ms = 1500
        contracts = ["base","drain","config","cost","recover","sched","platform"]
        orders = "call"
        [zones]
        z1 = "r"
        [listen]
        front = "%2$s:%3$d"
        ready = "%2$s:%4$d"
        control = "%2$s:%5$d"
        [limits]
        cpu_share = 0.75
        cores = 1
        memory_mb = 430
        max_fds = 4100
        link_mbps = 1000.0
        disk_mb = 0
        [fault_tolerance]
        machines = 2
        zones = 0
        regions = 0
        [bounds]
        stability_window_ms = 3000
        ack_ms = 4000
        drain_ms = 2000
        grace_s = 6
        config_apply_ms = 2000
        recovery_s = 12
        hold_max_ms = %9$d
        stop_timeout_ms = 200
        gang_timeout_ms = 3000
        cancel_ms = 3000
        visible_ms = 3000
        early_ms = 250
        finish_s = 14
        status_s = %10$d
        lease_ms = 3000
        thaw_slack_ms = 300
        pace_ms = 100
        [platform]
        address = "%8$s"
        form = "log"
        writes_per_s = 800
        reads_per_s = 2000
        parts = 16
        append_ms = 3.0
        record_bytes = 262144
        call_bytes = 2097152
        keep_s = 300
        part_mb = 200
        """
            .formatted(
                node + 1,
                ip(node),
                port,
                port + 1,
                port + 2,
                port + 3,
                port + 4,
                store.address(),
                holdMaxMillis,
                statusSeconds));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    builder.environment().put("LAVENDERSTAGE_NODE_FILE", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve("entry-" + node + "-" + starts++ + ".log").toFile()));
    Process process = builder.start();
    if (node < processes.size()) {
      processes.set(node, process);
    } else {
      processes.add(process);
    }
    notes.add("entry " + node + " started as process " + process.pid());
  }

  boolean isAlive(int node) {
    return processes.get(node).isAlive();
  }

  int exitValue(int node) {
    return processes.get(node).exitValue();
  }

  /** Kills an entry. */
  void kill(int node) throws InterruptedException {
    notes.add("entry " + node + " is killed");
    processes.get(node).destroyForcibly().waitFor();
  }

  boolean isReady(int node) {
    return call(ip(node), port + 1, "GET", "x", "/readyz", "", 1_000).status() == 200;
  }

  void awaitReady(long millis) {
    long until = notes.millis() + millis;
    for (int node = 0; node < processes.size(); node++) {
      while (!isReady(node)) {
        if (notes.millis() > until) {
          throw new IllegalStateException("entry " + node + " is not ready");
        }
        Executor.sleep(100);
      }
    }
    notes.add("all entries are ready");
  }

  /** Returns which entry has claimed the jobs last, by the entries' logs; -1 for none. */
  int owner() throws IOException {
    long highest = -1;
    int owner = -1;
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).toList()) {
        for (String line : Files.readAllLines(file, StandardCharsets.ISO_8859_1)) {
          if (line.toLowerCase().contains("owner_claimed") || line.toLowerCase().contains("owner-claimed")) {
            Matcher claim = CLAIM.matcher(line);
            if (claim.find() && Long.parseLong(claim.group(1)) > highest) {
              highest = Long.parseLong(claim.group(1));
              owner = Integer.parseInt(file.getFileName().toString().split("-")[1]);
            }
          }
        }
      }
    }
    return owner;
  }

  Answer call(int node, String method, String path, String body) {
    Answer answer = call(ip(node), port, method, "q.example", path, body, 3_000);
    notes.add(
        "client " + method + " " + path + " at entry " + node + " -> " + answer.status() + " "
            + answer.body().strip() + (body.isEmpty() || body.length() > 300 ? "" : " for " + body));
    return answer;
  }

  /** Makes a call, again at the next entry while it gets no definite answer. */
  Answer callUntilAnswered(int node, String method, String path, String body, long millis) {
    long until = notes.millis() + millis;
    Answer answer = new Answer(0, "");
    for (int i = 0; notes.millis() < until; i++) {
      answer = call((node + i) % processes.size(), method, path, body);
      if (answer.status() != 0 && answer.status() < 429) {
        return answer;
      }
      Executor.sleep(200);
    }
    return answer;
  }

  private static Answer call(
      String ip, int port, String method, String host, String path, String body, int millis) {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(millis);
      socket.connect(new InetSocketAddress(ip, port), millis);
      OutputStream out = socket.getOutputStream();
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Deadline-Ms: " + millis
              + "\r\nConnection: close\r\n"
              + (bytes.length > 0
                  ? "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n"
                  : "")
              + "\r\n";
      out.write(head.getBytes(StandardCharsets.ISO_8859_1));
      out.write(bytes);
      out.flush();
      InputStream in = socket.getInputStream();
      String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int end = answer.indexOf("\r\n\r\n");
      return end < 0
          ? new Answer(0, "")
          : new Answer(Integer.parseInt(answer.substring(9, 12)), answer.substring(end + 4));
    } catch (IOException e) {
      return new Answer(0, "");
    }
  }

  /** Ends all processes, and removes what was written; the logs stay where LOGS names a folder. */
  @Override
  public synchronized void close() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
    String keep = System.getenv("LOGS");
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        if (keep != null && file.toString().endsWith(".log")) {
          Files.copy(file, Path.of(keep).resolve(file.getFileName()), java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      // removed already
    }
  }
}
