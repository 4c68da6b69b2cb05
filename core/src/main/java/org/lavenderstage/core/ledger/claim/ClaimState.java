package org.lavenderstage.core.ledger.claim;

/**
 * The state of one claimed request as recorded in the log.
 *
 * @param entry incarnation of the entry that owns the claim
 * @param attempt number of the claim, from one; a new claim after a release has the next number
 * @param phase phase of the claim
 * @param claimedAtMillis append time of the claim in milliseconds since 1970
 */
public record ClaimState(String entry, int attempt, Phase phase, long claimedAtMillis) {
  /** Phase of a claim. */
  public enum Phase {
    /** Its owner may dispatch the request, or has done so. */
    CLAIMED,
    /** Its owner released it without dispatching the request; the next attempt may be claimed. */
    RELEASED,
    /** The request is known to have run. */
    SETTLED
  }
}
