package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Runs a case: Main CASE ROOT FOLDER TROUBLE. Exits with 1 if the rule was broken, 0 if it held. */
final class Main {
  /** A case starts its traffic and returns whether the rule held. */
  interface Scenario {
    boolean run(World world) throws Exception;
  }

  /** What a case is played with. */
  record World(
      Path root, Transcript transcript, Store store, Fleet fleet, Deployment deployment, boolean trouble) {
    Caller caller(String host, String prefix) {
      return new Caller(transcript, host, prefix);
    }

    /** Writes a manifest with one route for each row of name, host, prefix, service and priority. */
    void publishManifest(int version, String[]... routes) {
      ObjectNode manifest = Json.object().put("version", version);
      var rows = manifest.putArray("routes");
      var services = manifest.putArray("services");
      for (String[] route : routes) {
        rows.addObject()
            .put("name", route[0])
            .put("host", route[1])
            .put("path_prefix", route[2])
            .put("kind", "non_idempotent")
            .put("timeout_ms", 3_000)
            .put("target_duration_ms", 1_000)
            .put("priority", Integer.parseInt(route[4]))
            .put("service", route[3])
            .put("max_attempts", 3)
            .put("slack_factor", 2.0);
        services
            .addObject()
            .put("name", route[3])
            .put("health_path", "/healthz")
            .put("max_conns", 64)
            .put("protocol", "h1")
            .put("tls_enabled", false)
            .put("enforces_capacity", true)
            .put("standby", false);
      }
      manifest
          .putObject("limits")
          .put("max_header_bytes", 16_384)
          .put("max_body_bytes", 262_144)
          .put("header_timeout_ms", 3_000)
          .put("idle_timeout_ms", 15_000);
      store.put("keyed.op", "config", manifest.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Starts entries and waits until they are ready. */
    void startEntries(int count) throws Exception {
      for (int i = 1; i <= count; i++) {
        deployment.start("frontend-" + i);
      }
      deployment.awaitReady(Transcript.nowMillis() + 30_000);
      Thread.sleep(2_000);
      transcript.note(count + " entries are ready");
    }
  }

  private Main() {}

  private static Scenario scenario(String name) throws ReflectiveOperationException {
    return (Scenario) Class.forName("review." + name).getDeclaredConstructor().newInstance();
  }

  public static void main(String[] arguments) {
    int code = 2;
    Path root = Path.of(arguments[1]);
    try (Transcript transcript = new Transcript(Path.of(arguments[2], "record.txt"));
        Store store = new Store(transcript);
        Fleet fleet = new Fleet(transcript, store);
        Deployment deployment = new Deployment(root, store.address(), transcript)) {
      Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
      boolean trouble = !arguments[3].equals("0");
      World world = new World(root, transcript, store, fleet, deployment, trouble);
      boolean held = scenario(arguments[0]).run(world);
      transcript.note(held ? "HELD" : "BROKEN");
      code = held ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }
}
