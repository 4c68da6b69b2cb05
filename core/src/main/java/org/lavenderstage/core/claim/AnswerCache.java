package org.lavenderstage.core.claim;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.lavenderstage.core.ledger.claim.RequestKey;

/** Keeps the latest answers for repeats, bounded in count and bytes; the oldest goes first. */
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
    ClaimAnswer former = answers.put(key, answer);
    bytes += answer.body().length - (former == null ? 0 : former.body().length);
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
