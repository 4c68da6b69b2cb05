package org.lavenderstage.core.ledger.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.ledger.StateMachine;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;

/**
 * The replicated claims of non-idempotent requests. The first valid claim in log order wins, and
 * only its owner can release it, so that no entry dispatches a request that another entry may still
 * dispatch. Claims of keys that are older than the window are removed based on append times alone,
 * so that every process removes the same claims at the same offset.
 */
public final class ClaimLedger implements StateMachine {
  private final ClaimWindow window;
  private final int limit;
  private final Map<RequestKey, ClaimState> claims = new HashMap<>();
  private final TreeMap<Long, Set<RequestKey>> keysByTime = new TreeMap<>();
  private long latestAppendMillis;

  /**
   * Creates a ledger without claims.
   *
   * @param window how far a key's time may differ from the append time; must be the same on every
   *     entry
   * @param limit maximum number of claims that are kept; must be the same on every entry
   */
  public ClaimLedger(ClaimWindow window, int limit) {
    this.window = window;
    this.limit = limit;
  }

  @Override
  public boolean apply(RecordPosition at, LedgerRecord record) {
    latestAppendMillis = Math.max(latestAppendMillis, at.appendTimeMillis());
    removeExpired();
    return switch (record) {
      case RequestClaimed claimed -> claim(at, claimed);
      case RequestReleased released ->
          endClaim(
              new RequestKey(released.workspace(), released.key()),
              released.entry(),
              released.attempt(),
              ClaimState.Phase.RELEASED);
      case RequestSettled settled ->
          endClaim(
              new RequestKey(settled.workspace(), settled.key()),
              settled.entry(),
              settled.attempt(),
              ClaimState.Phase.SETTLED);
      default -> false;
    };
  }

  private void removeExpired() {
    Map<Long, Set<RequestKey>> old =
        keysByTime.headMap(window.oldestKeptMillis(latestAppendMillis));
    old.values().forEach(claims.keySet()::removeAll);
    old.clear();
  }

  private boolean claim(RecordPosition at, RequestClaimed claimed) {
    RequestKey key = new RequestKey(claimed.workspace(), claimed.key());
    ClaimState known = claims.get(key);
    int lastAttempt = known == null ? 0 : known.attempt();
    boolean free = known == null || known.phase() == ClaimState.Phase.RELEASED;
    if (!free || claimed.attempt() != lastAttempt + 1 || !isInWindow(key)) {
      return false;
    }
    if (known == null && claims.size() >= limit) {
      return false;
    }
    putClaim(
        key,
        new ClaimState(
            claimed.entry(), claimed.attempt(), ClaimState.Phase.CLAIMED, at.appendTimeMillis()));
    return true;
  }

  private void putClaim(RequestKey key, ClaimState claim) {
    long keyMillis = KeyTime.millis(key.key()).orElseThrow();
    keysByTime.computeIfAbsent(keyMillis, time -> new HashSet<>()).add(key);
    claims.put(key, claim);
  }

  private boolean endClaim(RequestKey key, String entry, int attempt, ClaimState.Phase phase) {
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
   * @return the claim, empty for none
   */
  public Optional<ClaimState> claim(RequestKey key) {
    return Optional.ofNullable(claims.get(key));
  }

  /**
   * Returns whether a claim of a key could take effect at the latest append time.
   *
   * @param key the request
   * @return whether the key's time lies inside the window
   */
  public boolean isInWindow(RequestKey key) {
    OptionalLong keyMillis = KeyTime.millis(key.key());
    return keyMillis.isPresent() && window.isValid(keyMillis.getAsLong(), latestAppendMillis);
  }

  /**
   * Returns the latest append time of all applied records.
   *
   * @return milliseconds since 1970, 0 for none
   */
  public long latestAppendMillis() {
    return latestAppendMillis;
  }

  /**
   * Returns the number of claims that are kept.
   *
   * @return the number
   */
  public int size() {
    return claims.size();
  }

  @Override
  public String digest() {
    return new StateDigest().add(window).add(limit).add(new TreeMap<>(claims)).hex();
  }

  @Override
  public ClaimsState snapshot() {
    return new ClaimsState(
        latestAppendMillis,
        new TreeMap<>(claims)
            .entrySet().stream()
                .map(entry -> new ClaimsState.KeyedClaim(entry.getKey(), entry.getValue()))
                .toList());
  }

  @Override
  public void restore(FoldState state) {
    if (!(state instanceof ClaimsState kept)) {
      throw new IllegalArgumentException("expected a ClaimsState, found " + state.getClass());
    }
    latestAppendMillis = kept.foldMillis();
    claims.clear();
    keysByTime.clear();
    kept.claims().forEach(keyed -> putClaim(keyed.key(), keyed.claim()));
  }
}
