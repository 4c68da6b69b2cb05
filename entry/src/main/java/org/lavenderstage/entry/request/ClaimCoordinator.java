package org.lavenderstage.entry.request;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.claim.ClaimLedger;
import org.lavenderstage.core.ledger.claim.ClaimState;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;
import org.lavenderstage.entry.log.StreamAppender;
import org.lavenderstage.entry.log.StreamReplica;

/**
 * Claims non-idempotent requests in the log. A claim is won only when it is read back as the first
 * valid one; a claim that was given up before is released as soon as it is read back.
 */
public final class ClaimCoordinator {
  /** What came of a claim. */
  public enum Fate {
    /** This entry alone may dispatch the request. */
    WON,
    /** Another claim came first. */
    LOST,
    /** The claim cannot be appended. */
    REFUSED
  }

  private final String entry;
  private final StreamReplica<ClaimLedger> replica;
  private final StreamAppender appender;
  private final Map<RequestKey, CompletableFuture<Fate>> pending = new ConcurrentHashMap<>();

  /**
   * Follows the claims.
   *
   * @param entry incarnation of this entry
   * @param replica this entry's copy of the claims, not started yet
   * @param appender appends to the stream
   */
  public ClaimCoordinator(
      String entry, StreamReplica<ClaimLedger> replica, StreamAppender appender) {
    this.entry = entry;
    this.replica = replica;
    this.appender = appender;
    replica.observe(this::judged);
  }

  /**
   * Finds the claim of a request as far as it was read.
   *
   * @param key the request
   * @return the claim, empty for none
   */
  public Optional<ClaimState> find(RequestKey key) {
    return replica.read(stream -> stream.fold().claim(key));
  }

  /**
   * Claims a request.
   *
   * @param key the request
   * @return completes when the claim is read back
   */
  public CompletableFuture<Fate> claim(RequestKey key) {
    CompletableFuture<Fate> fate = new CompletableFuture<>();
    if (pending.putIfAbsent(key, fate) != null) {
      return CompletableFuture.completedFuture(Fate.LOST);
    }
    int attempt = find(key).map(ClaimState::attempt).orElse(0) + 1;
    if (!appender.offer(new RequestClaimed(key.workspace(), key.key(), entry, attempt))) {
      pending.remove(key);
      fate.complete(Fate.REFUSED);
    }
    return fate;
  }

  /**
   * Gives the right to dispatch up, before the claim's fate is known.
   *
   * @param key the request
   * @return whether the right was given up; false where the fate is known already
   */
  public boolean abandon(RequestKey key) {
    CompletableFuture<Fate> fate = pending.remove(key);
    return fate != null && fate.complete(Fate.REFUSED);
  }

  /**
   * Releases a claim that was won and will never be dispatched.
   *
   * @param key the request
   * @return whether the release was handed to the log
   */
  public boolean release(RequestKey key) {
    return find(key)
        .map(
            claim ->
                appender.offer(
                    new RequestReleased(key.workspace(), key.key(), entry, claim.attempt())))
        .orElse(false);
  }

  /**
   * Records that a claimed request has run.
   *
   * @param key the request
   */
  public void settle(RequestKey key) {
    find(key)
        .ifPresent(
            claim ->
                appender.offer(
                    new RequestSettled(key.workspace(), key.key(), entry, claim.attempt())));
  }

  private void judged(RecordPosition at, LedgerRecord record, boolean effective) {
    if (!(record instanceof RequestClaimed claimed) || !claimed.entry().equals(entry)) {
      return;
    }
    RequestKey key = new RequestKey(claimed.workspace(), claimed.key());
    CompletableFuture<Fate> fate = pending.remove(key);
    if (fate != null) {
      fate.completeAsync(() -> effective ? Fate.WON : Fate.LOST);
    } else if (effective) {
      appender.offer(
          new RequestReleased(claimed.workspace(), claimed.key(), entry, claimed.attempt()));
    }
  }
}
