package org.lavenderstage.core.claim;

import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.record.LedgerRecord;

/**
 * An action that an entry must perform for a claim. Decisions are carried out in the order of their
 * list.
 */
public sealed interface ClaimDecision {
  /**
   * Appends a record to the log.
   *
   * @param record the record to append
   */
  record Append(LedgerRecord record) implements ClaimDecision {}

  /**
   * Passes a submission to the dispatcher, which checks with the coordinator again immediately
   * before the dispatch.
   *
   * @param submission number of the submission whose body is sent
   * @param key the request
   * @param attempt number of the claim
   */
  record Dispatch(long submission, RequestKey key, int attempt) implements ClaimDecision {}

  /**
   * Gives a submission its final answer.
   *
   * @param submission number of the submission
   * @param answer the answer
   */
  record Answer(long submission, ClaimAnswer answer) implements ClaimDecision {}

  /**
   * Asks the owner of a claim for its answer.
   *
   * @param submission the submission that waits for the answer
   * @param claim the claim as read from the log
   */
  record AskOwner(ClaimSubmission submission, ClaimState claim) implements ClaimDecision {}

  /**
   * Tells a peer that this entry does not know the request.
   *
   * @param submission number of the peer's submission
   */
  record ReplyNotKnown(long submission) implements ClaimDecision {}
}
