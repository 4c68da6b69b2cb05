package org.lavenderstage.core.claim;

import java.util.List;

/**
 * The result of the check immediately before a dispatch.
 *
 * @param allowed whether the request may be sent now
 * @param decisions further decisions to carry out
 */
public record DispatchCheck(boolean allowed, List<ClaimDecision> decisions) {
  /** Copies the list of decisions. */
  public DispatchCheck {
    decisions = List.copyOf(decisions);
  }
}
