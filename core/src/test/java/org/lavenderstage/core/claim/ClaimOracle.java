package org.lavenderstage.core.claim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lavenderstage.core.ledger.claim.RequestKey;
import org.lavenderstage.core.outcome.Outcome;

/**
 * Checks guarantees 4, 5 and 6 (own answer, truthful denial, at most one run) based only on what
 * was submitted, started and answered.
 */
final class ClaimOracle {
  /** An invariant that callers rely on. */
  enum Invariant {
    OWN_ANSWER,
    TRUTHFUL_DENIAL,
    AT_MOST_ONE_RUN
  }

  private final Map<String, Submitted> submissions = new HashMap<>();
  private final Set<String> open = new HashSet<>();
  private final Map<RequestKey, Integer> starts = new HashMap<>();
  private final Map<RequestKey, Long> lastDenial = new HashMap<>();
  private final Set<String> started = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private final List<Invariant> violations = new ArrayList<>();
  private long event;

  void submitted(String submission, RequestKey key) {
    submissions.put(submission, new Submitted(key, ++event));
    open.add(submission);
  }

  void started(String submission, RequestKey key) {
    event++;
    if (starts.merge(key, 1, Integer::sum) > 1) {
      violations.add(Invariant.AT_MOST_ONE_RUN);
    }
    started.add(submission);
    long denied = lastDenial.getOrDefault(key, 0L);
    if (refused.contains(submission) || submissions.get(submission).event() < denied) {
      violations.add(Invariant.TRUTHFUL_DENIAL);
    }
  }

  /** Records that a caller of a killed entry gets no answer. */
  void abandoned(String submission) {
    open.remove(submission);
  }

  void answered(String submission, ClaimAnswer answer) {
    event++;
    Submitted arrival = submissions.get(submission);
    if (!open.remove(submission)) {
      throw new AssertionError("second answer to submission " + submission);
    }
    outcomes.merge(answer.code().outcome(), 1, Integer::sum);
    boolean ran = starts.containsKey(arrival.key());
    switch (answer.code().outcome()) {
      case ANSWERED -> {
        if (!ran
            || !new String(answer.body(), StandardCharsets.UTF_8).equals(arrival.key().key())) {
          violations.add(Invariant.OWN_ANSWER);
        }
      }
      case NOT_RUN -> {
        if (ran) {
          violations.add(Invariant.TRUTHFUL_DENIAL);
        }
        lastDenial.put(arrival.key(), event);
      }
      case NOT_ACCEPTED -> {
        refused.add(submission);
        if (started.contains(submission)) {
          violations.add(Invariant.TRUTHFUL_DENIAL);
        }
      }
      case RAN -> {
        if (!ran) {
          violations.add(Invariant.TRUTHFUL_DENIAL);
        }
      }
      case UNKNOWN -> {
        // guarantees nothing that can be checked here
      }
    }
  }

  int unanswered() {
    return open.size();
  }

  List<Invariant> violations() {
    return violations;
  }

  int count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  int starts(RequestKey key) {
    return starts.getOrDefault(key, 0);
  }

  /** A submission with the number of its arrival event. */
  private record Submitted(RequestKey key, long event) {}
}
