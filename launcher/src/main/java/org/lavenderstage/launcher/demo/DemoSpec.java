package org.lavenderstage.launcher.demo;

import java.util.List;

/**
 * Describes one deployment of the demo.
 *
 * @param name name of the deployment
 * @param sheet name of the resource that holds its sheet
 * @param domains its failure domains
 * @param idempotentService a service whose requests may run more than once
 * @param nonIdempotentService a service whose requests run at most once, under an idempotency key
 * @param batchClass batch class of the submitted jobs
 * @param callers the callers
 */
record DemoSpec(
    String name,
    String sheet,
    List<String> domains,
    String idempotentService,
    String nonIdempotentService,
    String batchClass,
    List<Caller> callers) {
  /**
   * A workspace with its token.
   *
   * @param workspace name of the workspace
   * @param token its bearer token
   */
  record Caller(String workspace, String token) {}

  static List<DemoSpec> both() {
    return List.of(kilimanjaro(), magnolia());
  }

  private static DemoSpec kilimanjaro() {
    return new DemoSpec(
        "kilimanjaro",
        "kilimanjaro.csv",
        List.of("arusha-a", "arusha-b", "arusha-c"),
        "jack-voicing",
        "cut-layouts",
        "kit-plans",
        List.of(
            new Caller("builders", "builders-example-token"),
            new Caller("workshop", "workshop-example-token")));
  }

  private static DemoSpec magnolia() {
    return new DemoSpec(
        "magnolia",
        "magnolia.csv",
        List.of("southeast-a", "southeast-b", "southeast-c"),
        "shade-match",
        "kettle-recipes",
        "recipe-workups",
        List.of(
            new Caller("plant-one", "plant-one-example-token"),
            new Caller("plant-two", "plant-two-example-token"),
            new Caller("plant-three", "plant-three-example-token")));
  }
}
