package org.lavenderstage.core.claim;

import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.core.ledger.claim.RequestKey;

/** How far this entry has come with one request. */
final class ClaimProgress {
  /** Where the claim stands. */
  enum Phase {
    /** The claim was handed to the log; its fate is unread. */
    CLAIMING,
    /** The fate is unread and the right to dispatch is given up for good. */
    ABANDONED,
    /** The claim was read back as the first one; nothing was sent yet. */
    WON,
    /** The last check allowed the dispatch: it may run. */
    PERMITTED,
    /** It was given up undispatched; the release was handed to the log. */
    RELEASING,
    /** It ran; the record of that was handed to the log. */
    SETTLING;

    boolean waitsForTheLog() {
      return this == CLAIMING || this == ABANDONED || this == RELEASING;
    }
  }

  private final RequestKey key;
  private final List<ClaimSubmission> waiting = new ArrayList<>();
  private Phase phase = Phase.CLAIMING;
  private int attempt;

  ClaimProgress(RequestKey key, int attempt) {
    this.key = key;
    this.attempt = attempt;
  }

  RequestKey key() {
    return key;
  }

  Phase phase() {
    return phase;
  }

  int attempt() {
    return attempt;
  }

  void enter(Phase next) {
    phase = next;
  }

  void claimNext() {
    attempt++;
    phase = Phase.CLAIMING;
  }

  void join(ClaimSubmission submission) {
    waiting.add(submission);
  }

  /** The submission whose body is sent: the first caller's that still waits. */
  ClaimSubmission leader() {
    return waiting.stream().filter(one -> !one.fromPeer()).findFirst().orElseThrow();
  }

  boolean hasCallers() {
    return waiting.stream().anyMatch(one -> !one.fromPeer());
  }

  List<ClaimSubmission> waiting() {
    return List.copyOf(waiting);
  }

  void leave(ClaimSubmission submission) {
    waiting.remove(submission);
  }

  List<ClaimSubmission> takeAll() {
    List<ClaimSubmission> all = List.copyOf(waiting);
    waiting.clear();
    return all;
  }
}
