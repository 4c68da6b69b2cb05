package org.lavenderstage.core.claim;

import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.record.LedgerRecord;

/** What an entry must do about a claim. Decisions are carried out in the order of their list. */
public sealed interface ClaimDecision {
  /**
   * Append a proposal to the log.
   *
   * @param record the proposal
   */
  record Append(LedgerRecord record) implements ClaimDecision {}

  /**
   * Hand a submission to the dispatcher, which asks again right before the dispatch.
   *
   * @param submission number of the submission whose body is sent
   * @param key the request
   * @param attempt number of the claim
   */
  record Dispatch(long submission, RequestKey key, int attempt) implements ClaimDecision {}

  /**
   * Give a submission its final answer.
   *
   * @param submission number of the submission
   * @param answer the answer
   */
  record Answer(long submission, ClaimAnswer answer) implements ClaimDecision {}

  /**
   * Ask the owner of a claim for its answer.
   *
   * @param submission the submission that waits for it
   * @param claim the claim as the log has it
   */
  record AskOwner(ClaimSubmission submission, ClaimState claim) implements ClaimDecision {}

  /**
   * Tell a peer that this entry knows nothing of the request.
   *
   * @param submission number of the peer's submission
   */
  record Disown(long submission) implements ClaimDecision {}
}
