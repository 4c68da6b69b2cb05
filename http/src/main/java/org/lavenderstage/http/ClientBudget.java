package org.lavenderstage.http;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Bounds the memory that the clients of a process hold on all its ports, and their connections.
 * Where it is used up, the clients that have held the most bytes for the longest time without a
 * whole request are evicted, so that there is room for others. Does no I/O; thread-safe.
 */
public final class ClientBudget {
  /** Part of the heap that clients may hold: one of this number. */
  private static final int HEAP_PARTS = 8;

  /** Part of the budget that is kept for clients that hold little: one of this number. */
  private static final int RESERVE_PARTS = 8;

  /** Largest number of bytes held by a client that may use the reserve. */
  private static final long SMALL_BYTES = 32_768;

  /**
   * Time in milliseconds for which a new connection is kept before those that were served, as long
   * as a header may take. Newcomers would otherwise close each other before they can send.
   */
  private static final long NEW_MILLIS = 3_000;

  /** Minimum time between two reports to the observer, in milliseconds. */
  private static final long REPORT_INTERVAL_MILLIS = 1_000;

  private final long maxBytes;
  private final LongSupplier clockMillis;
  private final Consumer<Counts> observer;
  private final List<Group> groups = new ArrayList<>();
  private long heldBytes;
  private long refused;
  private long evicted;
  private long reportedAtMillis;

  /**
   * What clients hold, and what has become of them so far.
   *
   * @param heldBytes number of bytes held
   * @param maxBytes number of bytes that may be held
   * @param connections number of open connections
   * @param refused number of requests and connections refused for want of room
   * @param evicted number of clients evicted to make room for others
   */
  public record Counts(
      long heldBytes, long maxBytes, int connections, long refused, long evicted) {}

  /**
   * Creates a budget.
   *
   * @param maxBytes number of bytes that clients may hold
   * @param clockMillis monotonic time in milliseconds
   * @param observer told of refusals and evictions, at most once a second; must not block
   */
  public ClientBudget(long maxBytes, LongSupplier clockMillis, Consumer<Counts> observer) {
    this.maxBytes = maxBytes;
    this.clockMillis = clockMillis;
    this.observer = observer;
    reportedAtMillis = clockMillis.getAsLong() - REPORT_INTERVAL_MILLIS;
  }

  /**
   * Creates the budget of a process, an eighth of its heap.
   *
   * @param observer told of refusals and evictions, at most once a second; must not block
   * @return the budget
   */
  public static ClientBudget ofProcess(Consumer<Counts> observer) {
    return new ClientBudget(
        Runtime.getRuntime().maxMemory() / HEAP_PARTS,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
        observer);
  }

  /**
   * Creates a group of connections with a bound of its own, such as those of a port.
   *
   * @param maxConnections number of connections that may be open
   * @return the group
   */
  public synchronized Group group(int maxConnections) {
    Group group = new Group(maxConnections);
    groups.add(group);
    return group;
  }

  /**
   * Returns what clients hold, and what has become of them so far.
   *
   * @return the counts
   */
  public synchronized Counts counts() {
    int connections = groups.stream().mapToInt(group -> group.accounts.size()).sum();
    return new Counts(heldBytes, maxBytes, connections, refused, evicted);
  }

  private boolean makeRoom(Account requester, long growthBytes, long costOfRequester) {
    boolean small = requester.totalBytes() + growthBytes <= SMALL_BYTES;
    long allowedBytes = small ? maxBytes : maxBytes - maxBytes / RESERVE_PARTS;
    while (heldBytes + growthBytes > allowedBytes) {
      Optional<Account> victim = costliest(requester);
      if (victim.isEmpty() || victim.get().cost() <= costOfRequester) {
        refused++;
        report();
        return false;
      }
      evict(victim.get());
    }
    return true;
  }

  private Optional<Account> costliest(Account requester) {
    Account costliest = null;
    for (Group group : groups) {
      for (Account account : group.accounts) {
        boolean evictable = account != requester && account.partialBytes > 0;
        if (evictable && (costliest == null || account.cost() > costliest.cost())) {
          costliest = account;
        }
      }
    }
    return Optional.ofNullable(costliest);
  }

  private void evict(Account account) {
    account.setPartial(0);
    account.isEvicted = true;
    evicted++;
    report();
    account.evict.run();
  }

  private void report() {
    long nowMillis = clockMillis.getAsLong();
    if (nowMillis - reportedAtMillis >= REPORT_INTERVAL_MILLIS) {
      reportedAtMillis = nowMillis;
      observer.accept(counts());
    }
  }

  /** Connections with a common bound. */
  public final class Group {
    private final int maxConnections;
    private final Set<Account> accounts = new LinkedHashSet<>();

    private Group(int maxConnections) {
      this.maxConnections = maxConnections;
    }

    /**
     * Opens the account of a connection. At the bound, a connection without a pending request is
     * evicted: first those that have not sent a whole one for long, then those that have, then new
     * ones; of each kind the one that has been idle for longest.
     *
     * @param evict closes the connection or refuses its request; must not block, may call its
     *     account
     * @return the account, empty if the connection must be closed
     */
    public Optional<Account> open(Runnable evict) {
      synchronized (ClientBudget.this) {
        if (accounts.size() >= maxConnections) {
          Optional<Account> idle = longestIdle();
          if (idle.isEmpty()) {
            refused++;
            report();
            return Optional.empty();
          }
          accounts.remove(idle.get());
          evict(idle.get());
        }
        Account account = new Account(this, evict);
        accounts.add(account);
        return Optional.of(account);
      }
    }

    private Optional<Account> longestIdle() {
      Account longest = null;
      for (Account account : accounts) {
        if (account.pendingBytes == 0 && (longest == null || account.isIdlerThan(longest))) {
          longest = account;
        }
      }
      return Optional.ofNullable(longest);
    }
  }

  /** What one connection holds. */
  public final class Account implements AutoCloseable {
    private final Group group;
    private final Runnable evict;
    private long partialBytes;
    private long partialSinceMillis;
    private long pendingBytes;
    private long usedAtMillis = clockMillis.getAsLong();
    private boolean served;
    private boolean isEvicted;

    private Account(Group group, Runnable evict) {
      this.group = group;
      this.evict = evict;
    }

    /**
     * Sets the number of bytes held for a request that is not whole and for answers that the client
     * has not read.
     *
     * @param bytes the number of bytes
     * @return whether there is room; if not, the client must be refused and its bytes released
     */
    public boolean hold(long bytes) {
      synchronized (ClientBudget.this) {
        long growthBytes = bytes - partialBytes;
        long cost = bytes * heldMillis();
        if (isEvicted || (growthBytes > 0 && !makeRoom(this, growthBytes, cost))) {
          setPartial(0);
          return false;
        }
        setPartial(bytes);
        return true;
      }
    }

    /**
     * Admits a whole request, which is never evicted.
     *
     * @param bytes number of bytes held until {@link #release}
     * @param remainingBytes number of bytes held besides, as told to {@link #hold}
     * @return whether there is room; if not, the request must be refused
     */
    public boolean admit(long bytes, long remainingBytes) {
      synchronized (ClientBudget.this) {
        long growthBytes = bytes + remainingBytes - partialBytes;
        long cost = (bytes + remainingBytes) * heldMillis();
        if (isEvicted || (growthBytes > 0 && !makeRoom(this, growthBytes, cost))) {
          setPartial(0);
          return false;
        }
        setPartial(remainingBytes);
        pendingBytes += bytes;
        heldBytes += bytes;
        usedAtMillis = clockMillis.getAsLong();
        served = true;
        return true;
      }
    }

    /**
     * Releases an admitted request, also after the connection is closed.
     *
     * @param bytes the number of bytes that was admitted
     */
    public void release(long bytes) {
      synchronized (ClientBudget.this) {
        pendingBytes -= bytes;
        heldBytes -= bytes;
        usedAtMillis = clockMillis.getAsLong();
      }
    }

    private long totalBytes() {
      return partialBytes + pendingBytes;
    }

    /** Returns for how long the connection has held bytes, at least 1 ms. */
    private long heldMillis() {
      return partialBytes == 0 ? 1 : clockMillis.getAsLong() - partialSinceMillis + 1;
    }

    private long cost() {
      return partialBytes * heldMillis();
    }

    private void setPartial(long bytes) {
      if (partialBytes == 0) {
        partialSinceMillis = clockMillis.getAsLong();
      }
      heldBytes += bytes - partialBytes;
      partialBytes = bytes;
    }

    private boolean isIdlerThan(Account other) {
      int rank = evictionRank();
      int otherRank = other.evictionRank();
      return rank == otherRank ? usedAtMillis < other.usedAtMillis : rank < otherRank;
    }

    private int evictionRank() {
      if (served) {
        return 1;
      }
      return clockMillis.getAsLong() - usedAtMillis >= NEW_MILLIS ? 0 : 2;
    }

    /** Ends the connection. Admitted requests stay held until they are released. */
    @Override
    public void close() {
      synchronized (ClientBudget.this) {
        setPartial(0);
        isEvicted = true;
        group.accounts.remove(this);
      }
    }
  }
}
