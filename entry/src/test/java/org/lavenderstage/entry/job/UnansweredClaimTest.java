package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A claim is stored, but the answer to its append is lost. */
class UnansweredClaimTest {
  /** The entry must not mistake its own claim in the log for that of another process. */
  @Test
  void claimIsWonWhenFoundInLog() throws Exception {
    InMemoryKeyedLog log = new InMemoryKeyedLog();
    OwnershipManager ownership = TestOwnership.managerOf(log);
    try {
      log.appendAnswersToLose = 1;
      OwnershipManager.ClaimResult result =
          ownership.claim("a", "a:1", 0, incarnation -> false, () -> true);
      assertTrue(result instanceof OwnershipManager.ClaimResult.Won, result.toString());
    } finally {
      ownership.end();
    }
  }
}
