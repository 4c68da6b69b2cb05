package org.lavenderstage.core.ledger.claim;

import java.util.List;
import org.lavenderstage.core.ledger.FoldState;

/**
 * The whole state of the claims.
 *
 * @param claims every claim that is kept, in the order of the keys
 */
public record ClaimsState(List<KeyedClaim> claims) implements FoldState {
  /** Copies the claims. */
  public ClaimsState {
    claims = List.copyOf(claims);
  }

  /**
   * One claim with its request.
   *
   * @param key the request
   * @param claim its claim
   */
  public record KeyedClaim(RequestKey key, ClaimState claim) {}
}
