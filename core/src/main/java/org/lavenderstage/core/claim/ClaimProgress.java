package org.lavenderstage.core.claim;

import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.core.ledger.claim.RequestKey;

/** The progress of one request at this entry, with the submissions that wait for it. */
final class ClaimProgress {
  /** Phase of the claim. */
  enum Phase {
    /** The claim was passed to the log; it has not been read back, so its outcome is unknown. */
    CLAIMING,
    /** The claim has not been read back and the right to dispatch is irrevocably released. */
    ABANDONED,
    /** The claim was read from the log as the first one; nothing has been sent yet. */
    WON,
    /** The check before the dispatch allowed it; the request may run. */
    PERMITTED,
    /** The claim was released without a dispatch; the release was passed to the log. */
    RELEASING,
    /** The request ran; the record that says so was passed to the log. */
    SETTLING;

    boolean waitsForLog() {
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

  void setPhase(Phase next) {
    phase = next;
  }

  void startNextAttempt() {
    attempt++;
    phase = Phase.CLAIMING;
  }

  void join(ClaimSubmission submission) {
    waiting.add(submission);
  }

  /** Returns the submission whose body is sent: the first one of a caller that still waits. */
  ClaimSubmission leader() {
    return waiting.stream().filter(submitted -> !submitted.fromPeer()).findFirst().orElseThrow();
  }

  boolean hasCallers() {
    return waiting.stream().anyMatch(submitted -> !submitted.fromPeer());
  }

  List<ClaimSubmission> waiting() {
    return List.copyOf(waiting);
  }

  void leave(ClaimSubmission submission) {
    waiting.remove(submission);
  }

  List<ClaimSubmission> removeAll() {
    List<ClaimSubmission> all = List.copyOf(waiting);
    waiting.clear();
    return all;
  }
}
