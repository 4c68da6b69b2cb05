package org.lavenderstage.entry.job;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.jar.JarFile;
import org.lavenderstage.http.EventLoops;
import org.lavenderstage.http.Http1Client;
import org.lavenderstage.http.Http1Request;
import org.lavenderstage.http.Http1Server;
import org.lavenderstage.platform.EmptyStore;
import org.lavenderstage.platform.InvalidSettingException;
import org.lavenderstage.platform.NodeSettings;
import org.lavenderstage.platform.NodeSettingsReader;
import org.lavenderstage.platform.PlatformHttp;
import org.lavenderstage.platform.PlatformWorkers;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * Runs an entry on the loopback interface for a short time with an empty store. The build records
 * the classes that are loaded and puts them into a class data sharing archive, which speeds up the
 * start of an entry.
 */
public final class RehearsalCommand {
  private static final String LOOPBACK = "127.0.0.1";

  /** Longest wait until the entry owns the jobs, in milliseconds; some seconds on a slow VM. */
  private static final long START_TIMEOUT_MILLIS = 20_000;

  /** Running time as the owner, in milliseconds; the empty lists are read several times. */
  private static final long RUN_AFTER_CLAIM_MILLIS = 1_500;

  private static final long POLL_MILLIS = 20;

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int MAX_BODY_BYTES = 65_536;
  private static final long IDLE_TIMEOUT_MILLIS = 15_000;

  private static final NodeSettings.Bounds BOUNDS =
      new NodeSettings.Bounds(6_000, 300, 6_000, 120_000);

  private static final NodeSettings.StoreLimits STORE_LIMITS =
      new NodeSettings.StoreLimits(MAX_BODY_BYTES, MAX_BODY_BYTES);

  private static final int CPU_MILLIS = 1_000;
  private static final int DESCRIPTORS = 4_100;

  private RehearsalCommand() {}

  /**
   * Runs the entry and loads the classes.
   *
   * @param arguments paths of the JAR files of which all classes are loaded
   * @throws IOException if a JAR file cannot be read or there is no free port
   * @throws InterruptedException if the main thread is interrupted
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    EventLog.useJson(true);
    boolean ready = runEntry(List.of(arguments));
    System.exit(ready ? 0 : 1);
  }

  /** Runs the entry. Returns whether it owned the jobs in the end. */
  static boolean runEntry(List<String> jars) throws IOException, InterruptedException {
    EventLoopGroup eventLoops = EventLoops.create("rehearsal");
    try (Http1Server store = new Http1Server(eventLoops, MAX_BODY_BYTES, IDLE_TIMEOUT_MILLIS)) {
      int storePort = store.listen(LOOPBACK, 0, new EmptyStore());
      return runEntry(jars, storePort, eventLoops);
    } finally {
      EventLoops.shutDown(eventLoops);
    }
  }

  private static boolean runEntry(List<String> jars, int storePort, EventLoopGroup eventLoops)
      throws IOException, InterruptedException {
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
            CPU_MILLIS,
            DESCRIPTORS,
            LOOPBACK + ":" + storePort,
            STORE_LIMITS,
            BOUNDS);
    try (JobEntry entry = new JobEntry(settings)) {
      entry.start();
      callEntry(LOOPBACK + ":" + settings.callerPort(), eventLoops);
      for (String jar : jars) {
        loadClasses(Path.of(jar));
      }
      readSettings();
      long deadlineMillis = Clocks.monotonicMillis() + START_TIMEOUT_MILLIS;
      while (!entry.ownsJobs() && Clocks.monotonicMillis() < deadlineMillis) {
        Thread.sleep(POLL_MILLIS);
      }
      Thread.sleep(RUN_AFTER_CLAIM_MILLIS);
      warmUpOwner(eventLoops);
      return entry.ownsJobs();
    }
  }

  private static void callEntry(String address, EventLoopGroup eventLoops)
      throws InterruptedException {
    try (Http1Client caller =
        new Http1Client(eventLoops, TIMEOUT_MILLIS, TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS)) {
      for (Http1Request request :
          List.of(Http1Request.get("/"), Http1Request.post("/job", new byte[] {'{', '}'}))) {
        caller
            .send(address, request, TIMEOUT_MILLIS)
            .handle((response, failure) -> 0)
            .get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      }
    } catch (ExecutionException | TimeoutException e) {
      EventLog.warn(LogEvent.DUTY_FAILED, "duty", "rehearsal", "cause", e);
    }
  }

  private static void warmUpOwner(EventLoopGroup eventLoops) throws InterruptedException {
    try (PlatformHttp http = new PlatformHttp(eventLoops)) {
      new OwnerWarmup(new PlatformWorkers(http), eventLoops, () -> true, () -> 0).run();
    }
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

  private static void readSettings() throws IOException {
    try {
      NodeSettingsReader.readSample();
    } catch (InvalidSettingException e) {
      throw new IllegalStateException("the sample of the settings is not valid", e);
    }
    SighupHandler.ignore();
  }

  private static void loadClasses(Path jar) throws IOException {
    try (JarFile file = new JarFile(jar.toFile())) {
      for (String name : file.stream().map(entry -> entry.getName()).toList()) {
        if (name.endsWith(".class") && !name.endsWith("-info.class")) {
          loadClass(name.substring(0, name.length() - ".class".length()).replace('/', '.'));
        }
      }
    }
  }

  private static void loadClass(String className) {
    try {
      Class.forName(className, false, RehearsalCommand.class.getClassLoader());
    } catch (ClassNotFoundException | LinkageError e) {
      // the class needs an optional library, so an entry does not use it
    }
  }
}
