package org.lavenderstage.entry.job;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.jar.JarFile;
import org.lavenderstage.platform.InvalidSettingException;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.NodeSettingsReader;
import org.lavenderstage.wire.event.EventLog;

/**
 * Runs an entry on loopback for a moment, against a store that is empty, and ends. The build
 * records the classes that this loads, so that an entry finds them ready to use when it starts.
 */
public final class RehearsalCommand {
  private static final String LOOPBACK = "127.0.0.1";

  /** Longest time for the entry to claim the jobs, in milliseconds; some seconds on a slow VM. */
  private static final long LONGEST_START_MILLIS = 20_000;

  /** Time to read the empty lists some times, in milliseconds. */
  private static final long RUN_MILLIS = 1_500;

  private static final long POLL_MILLIS = 20;

  /** What the store answers to everything: an end and a first offset of 0, and no records. */
  private static final byte[] EMPTY_LOG = new byte[16];

  private static final NodeSettings.Bounds BOUNDS =
      new NodeSettings.Bounds(6_000, 300, 6_000, 120_000);

  private static final int PROCESSOR_MILLIS = 1_000;

  private RehearsalCommand() {}

  /**
   * Runs the rehearsal.
   *
   * @param arguments jars of which every class is loaded
   * @throws IOException where a jar or a port cannot be had
   * @throws InterruptedException where the main thread is interrupted
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    EventLog.useJson(true);
    ClientFactory.disableShutdownHook();
    boolean ready = rehearse(List.of(arguments));
    System.exit(ready ? 0 : 1);
  }

  /** Runs the entry; returns whether it came to own the jobs. */
  static boolean rehearse(List<String> jars) throws IOException, InterruptedException {
    Server store = Server.builder().http(loopback(0)).serviceUnder("/", (c, r) -> empty()).build();
    store.start().join();
    List<Integer> ports = freePorts(4);
    NodeSettings settings =
        new NodeSettings(
            "rehearsal",
            "none",
            LOOPBACK,
            ports.get(0),
            ports.get(1),
            ports.get(2),
            ports.get(3),
            PROCESSOR_MILLIS,
            LOOPBACK + ":" + store.activeLocalPort(),
            BOUNDS);
    try (JobEntry entry = new JobEntry(settings)) {
      entry.start();
      WebClient caller = WebClient.of("h1c://" + LOOPBACK + ":" + settings.frontPort());
      caller.get("/").aggregate().join();
      caller.post("/job", "{}").aggregate().join();
      for (String jar : jars) {
        loadAll(Path.of(jar));
      }
      readSettings();
      long latest = Time.steadyMillis() + LONGEST_START_MILLIS;
      while (!entry.ownsJobs() && Time.steadyMillis() < latest) {
        Thread.sleep(POLL_MILLIS);
      }
      Thread.sleep(RUN_MILLIS);
      return entry.ownsJobs();
    } finally {
      store.stop().join();
    }
  }

  private static HttpResponse empty() {
    return HttpResponse.of(HttpStatus.OK, MediaType.OCTET_STREAM, HttpData.wrap(EMPTY_LOG));
  }

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(LOOPBACK, port);
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private static void readSettings() {
    try {
      NodeSettingsReader.read("rehearsal = true");
    } catch (InvalidSettingException e) {
      // expected: the point is to load what reads settings
    }
  }

  private static void loadAll(Path jar) throws IOException {
    try (JarFile file = new JarFile(jar.toFile())) {
      for (String name : file.stream().map(entry -> entry.getName()).toList()) {
        if (name.endsWith(".class") && !name.endsWith("-info.class")) {
          load(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
  }

  private static void load(String className) {
    try {
      Class.forName(className, false, RehearsalCommand.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      // a class that needs an optional library is not used by an entry either
    }
  }
}
