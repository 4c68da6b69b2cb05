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

/** A keyed log in memory whose answers can be lost after the effect, and whose history can go. */
final class MemoryLog implements KeyedLog {
  private final Map<LogTopic, List<KeyedRecord>> topics = new EnumMap<>(LogTopic.class);
  private final Map<LogTopic, Long> firsts = new EnumMap<>(LogTopic.class);
  private final List<Runnable> late = new ArrayList<>();
  int answersToLose;

  /** Appends that get no answer and are carried out just before the next one. */
  int appendsToDelay;

  /** Appends that get no answer and no effect. */
  int appendsToLose;

  /** Happens after the next append without an answer. */
  Runnable onceUnanswered = () -> {};

  /** What happens before the next reads, in turn. */
  final Queue<Runnable> beforeReads = new ArrayDeque<>();

  boolean down;

  private List<KeyedRecord> topic(LogTopic topic) {
    return topics.computeIfAbsent(topic, key -> new ArrayList<>());
  }

  /** Drops everything but the newest record of each key. */
  synchronized void forgetHistory(LogTopic topic) {
    firsts.put(topic, (long) topic(topic).size());
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
      late.add(() -> carryOut(log, at, records));
      return unanswered();
    }
    List.copyOf(late).forEach(Runnable::run);
    late.clear();
    Append result = carryOut(log, at, records);
    if (result instanceof Append.Stored && answersToLose > 0) {
      answersToLose--;
      return unanswered();
    }
    return CompletableFuture.completedFuture(result);
  }

  private static Append carryOut(
      List<KeyedRecord> log, OptionalLong at, List<KeyedRecord> records) {
    if (at.isPresent() && at.getAsLong() != log.size()) {
      return new Append.EndMoved(log.size());
    }
    long offset = log.size();
    log.addAll(records);
    return new Append.Stored(offset, log.size());
  }

  private CompletableFuture<Append> unanswered() {
    Runnable happens = onceUnanswered;
    onceUnanswered = () -> {};
    happens.run();
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
    if (from < firsts.getOrDefault(topic, 0L)) {
      return CompletableFuture.completedFuture(new Read.Expired(firsts.get(topic)));
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
