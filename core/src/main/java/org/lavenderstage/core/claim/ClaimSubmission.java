package org.lavenderstage.core.claim;

import org.lavenderstage.core.ledger.claim.RequestKey;

/**
 * One submission of a request, by a caller, or a query of a peer for the answer.
 *
 * @param id number of the submission, unique at this entry
 * @param key the request
 * @param arrivedNanos monotonic time of the arrival in nanoseconds
 * @param deadlineNanos monotonic time by which it must be answered, in nanoseconds
 * @param fromPeer whether a peer queries for the answer; such a submission never leads to a claim
 *     or a dispatch
 */
public record ClaimSubmission(
    long id, RequestKey key, long arrivedNanos, long deadlineNanos, boolean fromPeer) {}
