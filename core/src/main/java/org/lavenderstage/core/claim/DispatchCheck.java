package org.lavenderstage.core.claim;

import java.util.List;

/**
 * The last check before a dispatch.
 *
 * @param allowed whether the request may be sent now
 * @param decisions what else must be done
 */
public record DispatchCheck(boolean allowed, List<ClaimDecision> decisions) {
  /** Copies the list. */
  public DispatchCheck {
    decisions = List.copyOf(decisions);
  }
}
