package org.lavenderstage.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The requests of one service that wait for a slot. They are served by rank, within a rank by
 * weighted fair queueing between workspaces, and within a workspace by deadline. The lowest rank
 * with queued requests gets a minimum part of the service, so that batch requests are not starved.
 *
 * @param <T> type of the queued items
 */
public final class AdmissionQueue<T> {
  /** The lowest rank is served once in this many times while requests of higher ranks wait. */
  public static final int LOWEST_RANK_TURN_INTERVAL = 20;

  private final int capacity;
  private final int workspaceCapacity;
  private final TreeMap<Integer, RankQueue<T>> ranks = new TreeMap<>();
  private int size;
  private int turnsSinceLowestRank;
  private long nextSequence;

  /**
   * Creates an empty queue.
   *
   * @param capacity maximum number of queued requests
   * @param workspaceCapacity maximum number of queued requests of one workspace in one rank
   */
  public AdmissionQueue(int capacity, int workspaceCapacity) {
    this.capacity = capacity;
    this.workspaceCapacity = workspaceCapacity;
  }

  /**
   * Adds a request.
   *
   * @param request the request
   * @return whether the request was added; false if the queue or the workspace's part of it is full
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
   * Returns the request that is served next, without removing it.
   *
   * @return the request, or empty if the queue is empty
   */
  public Optional<QueuedRequest<T>> peek() {
    return size == 0 ? Optional.empty() : Optional.of(nextRank().nextWorkspace().first());
  }

  /**
   * Removes and returns the request that is served next.
   *
   * @return the request, or empty if the queue is empty
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
   * Removes and returns the requests whose deadline has passed.
   *
   * @param now monotonic time in nanoseconds
   * @return the expired requests
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
   * Returns the number of queued requests that would be served before a new one.
   *
   * @param rank rank of the new request
   * @param workspace workspace of the new request
   * @param weight weight of the workspace
   * @return number of requests
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
   * Returns the number of queued requests of higher ranks.
   *
   * @param rank the rank
   * @return number of requests whose rank number is lower
   */
  public int waitingAbove(int rank) {
    int waiting = 0;
    for (RankQueue<T> higher : ranks.headMap(rank).values()) {
      waiting += higher.size();
    }
    return waiting;
  }

  /**
   * Returns the fraction of its rank's capacity that a workspace gets beside the workspaces that
   * have queued requests.
   *
   * @param rank the rank
   * @param workspace the workspace
   * @param weight weight of the workspace
   * @return fraction, above 0 and at most 1
   */
  public double capacityFraction(int rank, String workspace, int weight) {
    RankQueue<T> queue = ranks.get(rank);
    return queue == null ? 1 : queue.capacityFraction(workspace, weight);
  }

  /**
   * Returns the number of queued requests.
   *
   * @return number of requests
   */
  public int size() {
    return size;
  }
}
