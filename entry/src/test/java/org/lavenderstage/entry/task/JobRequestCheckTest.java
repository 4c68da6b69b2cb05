package org.lavenderstage.entry.task;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.wire.csv.SheetReader;
import org.lavenderstage.wire.http.JobRequest;

class JobRequestCheckTest {
  private static final String HEADER =
      "kind,name,rank,share,quota-cpu-millis,quota-memory-mb,quota-accelerators,token-sha256,"
          + "idempotent,timeout-millis,service,batch-class,rule\n";

  private final Sheet sheet =
      SheetReader.read(HEADER + "class,kit-plans,2,2,,,,,,,,,\n").sheet().orElseThrow();

  @Test
  void aCompleteSubmissionIsValid() {
    assertEquals(Optional.empty(), validate(job("kit-plans", 1000, 1000, 0, 1000, false)));
    assertEquals(Optional.empty(), validate(job("kit-plans", 1000, 1000, 0, 0, true)));
  }

  @Test
  void negativeAndMissingNumbersAreRefused() {
    Optional<ResultCode> bad = Optional.of(ResultCode.BAD_JOB);
    assertEquals(bad, validate(job("kit-plans", -1, 1000, 0, 1000, false)));
    assertEquals(bad, validate(job("kit-plans", 0, 1000, 0, 1000, false)));
    assertEquals(bad, validate(job("kit-plans", 1000, 0, 0, 1000, false)));
    assertEquals(bad, validate(job("kit-plans", 1000, 1000, -1, 1000, false)));
    assertEquals(bad, validate(job("kit-plans", 1000, 1000, 0, 0, false)));
    assertEquals(bad, validate(job("kit-plans", 1000, 1000, 0, -1, true)));
  }

  @Test
  void anUnknownOrMissingClassIsRefused() {
    assertEquals(
        Optional.of(ResultCode.UNKNOWN_BATCH_CLASS),
        validate(job("other", 1000, 1000, 0, 1000, false)));
    assertEquals(
        Optional.of(ResultCode.BAD_REQUEST), validate(job(null, 1000, 1000, 0, 1000, false)));
  }

  private Optional<ResultCode> validate(JobRequest job) {
    return JobRequestCheck.validate(sheet, job);
  }

  private static JobRequest job(
      String batchClass, int cpu, int memory, int accelerators, long expected, boolean watcher) {
    return new JobRequest(batchClass, cpu, memory, accelerators, expected, watcher, "payload");
  }
}
