package org.lavenderstage.launcher.demo;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Result of the demo, printed as its last line. The four counts of violations (wrong, doubled,
 * overcommitted, two_places) are zero in a correct run.
 */
record DemoResult(
    long answered,
    @JsonProperty("not_run") long notRun,
    @JsonProperty("not_accepted") long notAccepted,
    long ran,
    long unknown,
    long wrong,
    long doubled,
    long overcommitted,
    @JsonProperty("two_places") long twoPlaces,
    @JsonProperty("p50_ms") double p50Millis,
    @JsonProperty("p99_ms") double p99Millis,
    @JsonProperty("batch_done") long batchDone,
    long evictions) {
  boolean isClean() {
    return wrong == 0 && doubled == 0 && overcommitted == 0 && twoPlaces == 0;
  }
}
