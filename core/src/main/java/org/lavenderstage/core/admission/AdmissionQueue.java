package org.lavenderstage.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The requests of one service that wait for a slot: ranks in order, within a rank weighted fair
 * between workspaces, within a workspace by deadline. The last rank that waits is given a floor:
 * one turn in so many, so that batch moves forward.
 *
 * @param <T> type of what waits
 */
public final class AdmissionQueue<T> {
  /** Turns of which the last rank gets one, while a higher rank waits. */
  public static final int LOWEST_RANK_TURN_INTERVAL = 20;

  private final int capacity;
  private final int workspaceCapacity;
  private final TreeMap<Integer, RankQueue<T>> ranks = new TreeMap<>();
  private int size;
  private int turnsSinceLowestRank;
  private long nextSequence;

  /**
   * Makes an empty queue.
   *
   * @param capacity most requests that may wait
   * @param workspaceCapacity most requests of one workspace and rank that may wait
   */
  public AdmissionQueue(int capacity, int workspaceCapacity) {
    this.capacity = capacity;
    this.workspaceCapacity = workspaceCapacity;
  }

  /**
   * Lets a request wait.
   *
   * @param request the request
   * @return false where too much waits
   */
  public boolean offer(QueuedRequest<T> request) {
    RankQueue<T> rank = ranks.computeIfAbsent(request.rank(), key -> new RankQueue<>());
    if (size >= capacity || rank.workspaceSize(request.workspace()) >= workspaceCapacity) {
      return false;
    }
    rank.add(request, nextSequence++);
    size++;
    return true;
  }

  /**
   * Returns the request whose turn it is without taking it.
   *
   * @return the request, empty where none waits
   */
  public Optional<QueuedRequest<T>> peek() {
    return size == 0 ? Optional.empty() : Optional.of(nextRank().nextWorkspace().first());
  }

  /**
   * Takes the request whose turn it is.
   *
   * @return the request, empty where none waits
   */
  public Optional<QueuedRequest<T>> take() {
    if (size == 0) {
      return Optional.empty();
    }
    RankQueue<T> next = nextRank();
    if (nonEmptyRankCount() > 1) {
      turnsSinceLowestRank =
          turnsSinceLowestRank < LOWEST_RANK_TURN_INTERVAL - 1 ? turnsSinceLowestRank + 1 : 0;
    }
    size--;
    return Optional.of(next.take());
  }

  private RankQueue<T> nextRank() {
    RankQueue<T> first = null;
    RankQueue<T> last = null;
    for (RankQueue<T> rank : ranks.values()) {
      if (rank.size() > 0) {
        first = first == null ? rank : first;
        last = rank;
      }
    }
    return turnsSinceLowestRank < LOWEST_RANK_TURN_INTERVAL - 1 ? first : last;
  }

  private int nonEmptyRankCount() {
    int count = 0;
    for (RankQueue<T> rank : ranks.values()) {
      count += rank.size() > 0 ? 1 : 0;
    }
    return count;
  }

  /**
   * Takes out the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the requests
   */
  public List<QueuedRequest<T>> removeExpired(long now) {
    List<QueuedRequest<T>> expired = new ArrayList<>();
    for (RankQueue<T> rank : ranks.values()) {
      expired.addAll(rank.removeExpired(now));
    }
    size -= expired.size();
    return expired;
  }

  /**
   * Counts the requests that would be served before a new one.
   *
   * @param rank rank of the new one
   * @param workspace its workspace
   * @param weight weight of the workspace
   * @return the count
   */
  public int countAhead(int rank, String workspace, int weight) {
    int ahead = 0;
    for (Map.Entry<Integer, RankQueue<T>> rankEntry : ranks.entrySet()) {
      if (rankEntry.getKey() < rank) {
        ahead += rankEntry.getValue().size();
      } else if (rankEntry.getKey() == rank) {
        ahead += rankEntry.getValue().countAhead(workspace, weight);
      }
    }
    return ahead;
  }

  /**
   * Counts the requests of higher ranks that wait.
   *
   * @param rank the rank
   * @return the count
   */
  public int waitingAbove(int rank) {
    int waiting = 0;
    for (RankQueue<T> higher : ranks.headMap(rank).values()) {
      waiting += higher.size();
    }
    return waiting;
  }

  /**
   * Returns the part of its rank's capacity that a workspace gets while those that wait go on.
   *
   * @param rank the rank
   * @param workspace the workspace
   * @param weight weight of the workspace
   * @return the part, up to one
   */
  public double capacityFraction(int rank, String workspace, int weight) {
    RankQueue<T> queue = ranks.get(rank);
    return queue == null ? 1 : queue.capacityFraction(workspace, weight);
  }

  /**
   * Counts the requests that wait.
   *
   * @return the count
   */
  public int size() {
    return size;
  }
}
