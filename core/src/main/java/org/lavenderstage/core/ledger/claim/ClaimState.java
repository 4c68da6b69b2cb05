package org.lavenderstage.core.ledger.claim;

/**
 * What the log says of one claimed request.
 *
 * @param entry incarnation of the entry that owns the claim
 * @param attempt number of the claim
 * @param phase how far it has come
 * @param claimedAtMillis append time of the claim
 */
public record ClaimState(String entry, int attempt, Phase phase, long claimedAtMillis) {
  /** How far a claim has come. */
  public enum Phase {
    /** Its owner may dispatch it, or has done so. */
    CLAIMED,
    /** Its owner gave it up undispatched; the next attempt may be claimed. */
    RELEASED,
    /** It is known to have run. */
    SETTLED
  }
}
