package org.lavenderstage.core.ledger.claim;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.Fold;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;

/**
 * The fold of the claims of non-idempotent requests. The first valid claim in log order wins, and
 * only its owner can release it, so that nobody dispatches what another entry may still dispatch.
 */
public final class ClaimLedger implements Fold {
  private final Map<RequestKey, ClaimState> claims = new TreeMap<>();

  /** Starts without claims. */
  public ClaimLedger() {}

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    return switch (record) {
      case RequestClaimed claimed -> claim(at, claimed);
      case RequestReleased released ->
          end(
              new RequestKey(released.workspace(), released.key()),
              released.entry(),
              released.attempt(),
              ClaimState.Phase.RELEASED);
      case RequestSettled settled ->
          end(
              new RequestKey(settled.workspace(), settled.key()),
              settled.entry(),
              settled.attempt(),
              ClaimState.Phase.SETTLED);
      default -> false;
    };
  }

  private boolean claim(RecordPosition at, RequestClaimed claimed) {
    RequestKey key = new RequestKey(claimed.workspace(), claimed.key());
    ClaimState known = claims.get(key);
    int lastAttempt = known == null ? 0 : known.attempt();
    boolean free = known == null || known.phase() == ClaimState.Phase.RELEASED;
    if (!free || claimed.attempt() != lastAttempt + 1) {
      return false;
    }
    claims.put(
        key,
        new ClaimState(
            claimed.entry(), claimed.attempt(), ClaimState.Phase.CLAIMED, at.appendTimeMillis()));
    return true;
  }

  private boolean end(RequestKey key, String entry, int attempt, ClaimState.Phase phase) {
    ClaimState known = claims.get(key);
    if (known == null
        || known.phase() != ClaimState.Phase.CLAIMED
        || !known.entry().equals(entry)
        || known.attempt() != attempt) {
      return false;
    }
    claims.put(key, new ClaimState(entry, attempt, phase, known.claimedAtMillis()));
    return true;
  }

  /**
   * Finds the claim of a request.
   *
   * @param key the request
   * @return the claim, empty where the log holds none
   */
  public Optional<ClaimState> claim(RequestKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /**
   * Counts the claims that are kept.
   *
   * @return the count
   */
  public int size() {
    return claims.size();
  }

  @Override
  public String digest() {
    return new StateDigest().add(claims).hex();
  }

  @Override
  public ClaimsState snapshot() {
    return new ClaimsState(
        claims.entrySet().stream()
            .map(entry -> new ClaimsState.KeyedClaim(entry.getKey(), entry.getValue()))
            .toList());
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof ClaimsState kept)) {
      throw new IllegalArgumentException("no state of claims: " + state.getClass());
    }
    claims.clear();
    kept.claims().forEach(keyed -> claims.put(keyed.key(), keyed.claim()));
  }
}
