package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.pool.OrderResult;
import org.lavenderstage.core.pool.PoolTiming;

/** The claim is stored, and the answer to its append is lost. */
class ClaimWithoutAnswerTest {
  /** The entry finds its own claim in the log and takes it for that of another process. */
  @Test
  void anEntryThatFindsItsOwnClaimInTheLogHasWon() throws Exception {
    MemoryLog log = new MemoryLog();
    OwnerTerms terms =
        new OwnerTerms(
            log,
            (order, term) -> CompletableFuture.completedFuture(new OrderResult.Unanswered("none")),
            new PoolTiming(6_000, 300, 2_500),
            120_000,
            (decision, values) -> {});
    try {
      log.answersToLose = 1;
      OwnerTerms.Claim claim = terms.claim("a", "a:1", 0, former -> false, () -> true);
      assertTrue(claim instanceof OwnerTerms.Claim.Won, claim.toString());
    } finally {
      terms.end();
    }
  }
}
