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

/** Judges promises 4, 5 and 6 by what was submitted, started and answered, and nothing else. */
final class ClaimOracle {
  /** A promise that was broken. */
  enum Promise {
    OWN_ANSWER,
    TRUE_DENIAL,
    ONE_RUN
  }

  private final Map<String, Submitted> submissions = new HashMap<>();
  private final Set<String> open = new HashSet<>();
  private final Map<RequestKey, Integer> starts = new HashMap<>();
  private final Map<RequestKey, Long> lastDenial = new HashMap<>();
  private final Set<String> started = new HashSet<>();
  private final Set<String> refused = new HashSet<>();
  private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
  private final List<Promise> broken = new ArrayList<>();
  private long event;

  void submitted(String submission, RequestKey key) {
    submissions.put(submission, new Submitted(key, ++event));
    open.add(submission);
  }

  void started(String submission, RequestKey key) {
    event++;
    if (starts.merge(key, 1, Integer::sum) > 1) {
      broken.add(Promise.ONE_RUN);
    }
    started.add(submission);
    long denied = lastDenial.getOrDefault(key, 0L);
    if (refused.contains(submission) || submissions.get(submission).event() < denied) {
      broken.add(Promise.TRUE_DENIAL);
    }
  }

  /** A killed entry's caller gets nothing. */
  void abandoned(String submission) {
    open.remove(submission);
  }

  void answered(String submission, ClaimAnswer answer) {
    event++;
    Submitted one = submissions.get(submission);
    if (!open.remove(submission)) {
      throw new AssertionError("a second answer to " + submission);
    }
    outcomes.merge(answer.code().outcome(), 1, Integer::sum);
    boolean ran = starts.containsKey(one.key());
    switch (answer.code().outcome()) {
      case ANSWERED -> {
        if (!ran || !new String(answer.body(), StandardCharsets.UTF_8).equals(one.key().key())) {
          broken.add(Promise.OWN_ANSWER);
        }
      }
      case NOT_RUN -> {
        if (ran) {
          broken.add(Promise.TRUE_DENIAL);
        }
        lastDenial.put(one.key(), event);
      }
      case NOT_ACCEPTED -> {
        refused.add(submission);
        if (started.contains(submission)) {
          broken.add(Promise.TRUE_DENIAL);
        }
      }
      case RAN -> {
        if (!ran) {
          broken.add(Promise.TRUE_DENIAL);
        }
      }
      case UNKNOWN -> {
        // promises nothing that can be checked here
      }
    }
  }

  int unanswered() {
    return open.size();
  }

  List<Promise> broken() {
    return broken;
  }

  int count(Outcome outcome) {
    return outcomes.getOrDefault(outcome, 0);
  }

  int starts(RequestKey key) {
    return starts.getOrDefault(key, 0);
  }

  /** A submission with the event of its arrival. */
  private record Submitted(RequestKey key, long event) {}
}
