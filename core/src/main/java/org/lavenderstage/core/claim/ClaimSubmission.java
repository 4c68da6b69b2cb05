package org.lavenderstage.core.claim;

import org.lavenderstage.core.ledger.claim.RequestKey;

/**
 * One submission of a request: a caller's, or a peer's query for the answer.
 *
 * @param id number of the submission at this entry
 * @param key the request
 * @param arrivedNanos monotonic time of the arrival
 * @param deadlineNanos monotonic time by which it must be answered
 * @param fromPeer whether a peer asks; such a submission never leads to a claim or a dispatch
 */
public record ClaimSubmission(
    long id, RequestKey key, long arrivedNanos, long deadlineNanos, boolean fromPeer) {}
