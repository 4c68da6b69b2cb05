package org.lavenderstage.entry.job;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.KeyedLog;
import org.lavenderstage.clients.KeyedRecord;
import org.lavenderstage.clients.LogTopic;

/**
 * A keyed log in memory that can be compacted and that simulates lost answers, lost and delayed
 * appends, and outages.
 */
final class InMemoryKeyedLog implements KeyedLog {
  private final Map<LogTopic, List<KeyedRecord>> topics = new EnumMap<>(LogTopic.class);
  private final Map<LogTopic, Long> firstOffsets = new EnumMap<>(LogTopic.class);
  private final List<Runnable> delayedAppends = new ArrayList<>();
  private final List<Runnable> delayedAnswers = new ArrayList<>();

  /** Number of next appends that are carried out but not answered. */
  int appendAnswersToLose;

  /**
   * Number of next appends that are not answered, and are carried out only just before a later one.
   */
  int appendsToDelay;

  /** Number of next appends that are neither carried out nor answered. */
  int appendsToLose;

  /** Action that runs once, at the next append that is not answered. */
  Runnable afterNextUnansweredAppend = () -> {};

  /** Actions that run before the next reads, one for each read. */
  final Queue<Runnable> beforeReads = new ArrayDeque<>();

  /** Whether the answers of appends that are carried out wait for {@link #deliverAppendAnswers}. */
  volatile boolean delayAppendAnswers;

  /** Longest append that is accepted, in bytes. */
  int maxAppendBytes = Integer.MAX_VALUE;

  /** Number of records of each append that was carried out. */
  final List<Integer> appendedCounts = new ArrayList<>();

  /** Whether all calls fail. */
  boolean down;

  private List<KeyedRecord> topic(LogTopic topic) {
    return topics.computeIfAbsent(topic, key -> new ArrayList<>());
  }

  /** Removes all records but the newest one of each key. */
  synchronized void compact(LogTopic topic) {
    firstOffsets.put(topic, (long) topic(topic).size());
  }

  @Override
  public synchronized CompletableFuture<Append> append(
      LogTopic topic, OptionalLong at, List<KeyedRecord> records) {
    List<KeyedRecord> log = topic(topic);
    if (down) {
      return CompletableFuture.completedFuture(new Append.Refused("down"));
    }
    if (appendsToLose > 0) {
      appendsToLose--;
      return unanswered();
    }
    if (appendsToDelay > 0) {
      appendsToDelay--;
      delayedAppends.add(() -> apply(log, at, records));
      return unanswered();
    }
    List.copyOf(delayedAppends).forEach(Runnable::run);
    delayedAppends.clear();
    Append result = apply(log, at, records);
    if (result instanceof Append.Stored && appendAnswersToLose > 0) {
      appendAnswersToLose--;
      return unanswered();
    }
    if (delayAppendAnswers) {
      CompletableFuture<Append> answer = new CompletableFuture<>();
      delayedAnswers.add(() -> answer.complete(result));
      return answer;
    }
    return CompletableFuture.completedFuture(result);
  }

  /** Delivers the delayed answers of appends, and delays no further ones. */
  void deliverAppendAnswers() {
    List<Runnable> answers;
    synchronized (this) {
      delayAppendAnswers = false;
      answers = List.copyOf(delayedAnswers);
      delayedAnswers.clear();
    }
    answers.forEach(Runnable::run);
  }

  @Override
  public int maxAppendBytes() {
    return maxAppendBytes;
  }

  private Append apply(List<KeyedRecord> log, OptionalLong at, List<KeyedRecord> records) {
    if (records.stream().mapToInt(KeyedRecord::storedBytes).sum() > maxAppendBytes) {
      return new Append.Refused("too long");
    }
    if (at.isPresent() && at.getAsLong() != log.size()) {
      return new Append.EndMoved(log.size());
    }
    long offset = log.size();
    log.addAll(records);
    appendedCounts.add(records.size());
    return new Append.Stored(offset, log.size());
  }

  private CompletableFuture<Append> unanswered() {
    Runnable action = afterNextUnansweredAppend;
    afterNextUnansweredAppend = () -> {};
    action.run();
    return CompletableFuture.completedFuture(new Append.Unanswered("lost"));
  }

  @Override
  public synchronized CompletableFuture<Read> read(LogTopic topic, long from, int waitMillis) {
    if (!beforeReads.isEmpty()) {
      beforeReads.remove().run();
    }
    List<KeyedRecord> log = topic(topic);
    if (down) {
      return CompletableFuture.completedFuture(new Read.Failed("down"));
    }
    if (from < firstOffsets.getOrDefault(topic, 0L)) {
      return CompletableFuture.completedFuture(new Read.Expired(firstOffsets.get(topic)));
    }
    List<KeyedRecord> found =
        List.copyOf(log.subList((int) Math.min(from, log.size()), log.size()));
    return CompletableFuture.completedFuture(new Read.Records(from, log.size(), found));
  }

  @Override
  public synchronized CompletableFuture<Newest> newest(LogTopic topic, Optional<String> after) {
    if (down) {
      return CompletableFuture.completedFuture(new Newest.Failed("down"));
    }
    Map<String, KeyedRecord> newest = new LinkedHashMap<>();
    for (KeyedRecord record : topic(topic)) {
      newest.remove(record.key());
      if (record.value().isPresent()) {
        newest.put(record.key(), record);
      }
    }
    return CompletableFuture.completedFuture(
        new Newest.Page(List.copyOf(newest.values()), topic(topic).size(), false));
  }
}
