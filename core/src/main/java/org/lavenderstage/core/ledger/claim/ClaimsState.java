package org.lavenderstage.core.ledger.claim;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The complete state of the claims.
 *
 * @param foldMillis latest append time of all applied records, in milliseconds since 1970
 * @param claims all kept claims, ordered by key
 */
public record ClaimsState(long foldMillis, List<KeyedClaim> claims) implements FoldState {
  /** Copies the claims. */
  public ClaimsState {
    claims = List.copyOf(claims);
  }

  /**
   * A request and its claim.
   *
   * @param key the request
   * @param claim its claim
   */
  public record KeyedClaim(RequestKey key, ClaimState claim) {}
}
