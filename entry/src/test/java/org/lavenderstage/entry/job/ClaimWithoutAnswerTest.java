package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The claim is stored, and the answer to its append is lost. */
class ClaimWithoutAnswerTest {
  /** The entry finds its own claim in the log and takes it for that of another process. */
  @Test
  void anEntryThatFindsItsOwnClaimInTheLogHasWon() throws Exception {
    MemoryLog log = new MemoryLog();
    OwnerTerms terms = TestTerms.over(log);
    try {
      log.answersToLose = 1;
      OwnerTerms.Claim claim = terms.claim("a", "a:1", 0, former -> false, () -> true);
      assertTrue(claim instanceof OwnerTerms.Claim.Won, claim.toString());
    } finally {
      terms.end();
    }
  }
}
