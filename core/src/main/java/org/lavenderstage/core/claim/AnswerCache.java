package org.lavenderstage.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.claim.RequestKey;

/**
 * Caches the latest answers for repeated submissions. The cache is bounded by the number of answers
 * and by the bytes of their bodies; the oldest answer is evicted first.
 */
final class AnswerCache {
  private final int maxAnswers;
  private final long maxBytes;
  private final Map<RequestKey, ClaimAnswer> answers = new LinkedHashMap<>();
  private long bytes;

  AnswerCache(int maxAnswers, long maxBytes) {
    this.maxAnswers = maxAnswers;
    this.maxBytes = maxBytes;
  }

  void put(RequestKey key, ClaimAnswer answer) {
    ClaimAnswer previous = answers.put(key, answer);
    bytes += answer.body().length - (previous == null ? 0 : previous.body().length);
    Iterator<ClaimAnswer> oldest = answers.values().iterator();
    while (answers.size() > maxAnswers || bytes > maxBytes) {
      bytes -= oldest.next().body().length;
      oldest.remove();
    }
  }

  Optional<ClaimAnswer> find(RequestKey key) {
    return Optional.ofNullable(answers.get(key));
  }

  int size() {
    return answers.size();
  }
}
