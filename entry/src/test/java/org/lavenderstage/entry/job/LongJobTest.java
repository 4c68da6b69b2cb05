package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.core.job.JobRecord;
import org.lavenderstage.core.job.QueueRules;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.StoredChange;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.codec.StoredCodec;

/** Jobs with many steps fit into the records of the platform's store, or are rejected at once. */
class LongJobTest {
  /** Longest record of the store, and longest request of a caller, in bytes. */
  private static final int MAX_BYTES = 262_144;

  /** Shortest description of a step in a request, in bytes. */
  private static final int MIN_STEP_BYTES = 20;

  private static StepSpec step(String image) {
    return new StepSpec(
        1, 200, 100, 0, 100, List.of(), false, false, false, "", "", 0, false, false, image, 0,
        false, 0);
  }

  private static JobRecord job(int steps, IntFunction<String> image) {
    List<StepSpec> specs = new ArrayList<>();
    for (int i = 0; i < steps; i++) {
      specs.add(step(image.apply(i)));
    }
    QueueRules rules = new QueueRules("queue", "service", 0, 3, 2.0, 1_000);
    return new JobRecord("0000000000000001", rules, 0, "payload", specs, 0, 0, 0);
  }

  private static int storedBytes(JobRecord job) {
    return new KeyedRecord(StoredChange.put(job).key(), Optional.of(StoredCodec.encode(job)))
        .storedBytes();
  }

  /**
   * Regression: the record was longer than the store accepts, and its append was repeated forever.
   */
  @Test
  void aJobWithAsManyStepsAsARequestCanHoldFitsIntoOneRecord() throws Exception {
    JobRecord job = job(MAX_BYTES / MIN_STEP_BYTES, i -> "");
    assertTrue(storedBytes(job) <= MAX_BYTES, "bytes: " + storedBytes(job));
    assertFalse(FrontServer.isTooLong(job, MAX_BYTES, MAX_BYTES));
    assertEquals(Optional.of(job), StoredCodec.decode(StoredCodec.encode(job)));
  }

  @Test
  void aJobThatDoesNotFitIntoOneRecordIsTooLong() {
    Random random = new Random(1);
    JobRecord job = job(1_500, i -> random.ints(20).boxed().toList().toString());
    assertTrue(FrontServer.isTooLong(job, MAX_BYTES, MAX_BYTES / 4));
  }

  @Test
  void aCutCompressedRecordIsMalformed() {
    byte[] encoded = StoredCodec.encode(job(2_000, i -> ""));
    byte[] cut = Arrays.copyOf(encoded, encoded.length / 2);
    assertThrows(MalformedMessageException.class, () -> StoredCodec.decode(cut));
  }
}
