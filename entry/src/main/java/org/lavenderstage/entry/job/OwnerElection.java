package org.lavenderstage.entry.job;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.OwnershipQuery;
import org.lavenderstage.wire.peer.OwnershipReply;
import org.lavenderstage.wire.peer.PeerMessage;

/**
 * Monitors the owner of the jobs and claims the jobs if the owner is gone or has lost the store.
 * The claim in the log decides who owns the jobs; the queries between the entries only keep several
 * entries from claiming at once.
 */
final class OwnerElection implements AutoCloseable {
  /** Interval between two checks while the owner is not known to be well, in milliseconds. */
  private static final long CHECK_INTERVAL_MILLIS = 200;

  /** How long another entry's candidacy makes this one check the owner often, in milliseconds. */
  private static final long SUSPICION_MILLIS = 2_000;

  /** Time without a reply after which an owner counts as lost, in milliseconds; several polls. */
  private static final long OWNER_TIMEOUT_MILLIS = 900;

  /**
   * Time during which calls to the store fail after which an owner is replaced, in milliseconds; as
   * long as the timeout of one call.
   */
  private static final long STORE_TIMEOUT_MILLIS = 1_000;

  /**
   * Time that a new owner has to learn what its workers run before it counts as lost, in
   * milliseconds.
   */
  private static final long NEW_OWNER_GRACE_MILLIS = 1_500;

  /** Longest wait for the reply of another entry, in milliseconds; many round trips. */
  private static final int REPLY_TIMEOUT_MILLIS = 350;

  /** How long a query shows that its sender still follows this owner, in milliseconds. */
  private static final long FOLLOWER_TIMEOUT_MILLIS = 1_000;

  /**
   * Time for which an entry whose owner's thread stood still leaves the jobs to other entries, in
   * milliseconds.
   */
  private static final long STALLED_CLAIM_PAUSE_MILLIS = 10_000;

  private final String entry;
  private final String peerAddress;
  private final ClaimOrder claimOrder;
  private final Members members;
  private final StoreMonitor store;
  private final OwnershipManager ownership;
  private final PeerLinkPool links = new PeerLinkPool(REPLY_TIMEOUT_MILLIS);
  private final ExecutorService peerExecutor;
  private final Followers followers = new Followers(FOLLOWER_TIMEOUT_MILLIS);
  private volatile OwnerView owner = OwnerView.NONE;
  private volatile long ownerLastHeardMillis;
  private volatile long ownerChangedMillis;
  private volatile boolean released;
  private volatile long suspectedUntilMillis;
  private final StallDetector stallDetector = new StallDetector(Clocks::monotonicMillis);
  private volatile long claimNotBeforeMillis = Long.MIN_VALUE;
  private final Semaphore wakeUps = new Semaphore(0);
  private long candidateSinceMillis;
  private BackgroundThread thread;

  OwnerElection(
      String entry,
      String peerAddress,
      int processorMillis,
      Members members,
      StoreMonitor store,
      OwnershipManager ownership) {
    this.entry = entry;
    this.peerAddress = peerAddress;
    this.claimOrder = new ClaimOrder(entry, processorMillis);
    this.members = members;
    this.store = store;
    this.ownership = ownership;
    peerExecutor =
        Executors.newCachedThreadPool(
            task -> Thread.ofPlatform().daemon().name("ask-peer").unstarted(task));
  }

  void start() {
    ownerLastHeardMillis = Clocks.monotonicMillis();
    thread = new BackgroundThread("election", this::step);
  }

  /** Returns the owner that this entry knows, which may be itself. */
  OwnerView owner() {
    return owner;
  }

  /** Returns whether a majority of the entries, including this one, still follows this owner. */
  boolean isFollowed() {
    return followers.formMajority(members.others().size(), Clocks.monotonicMillis());
  }

  private void step() throws InterruptedException {
    members
        .memberWithHighestTerm()
        .filter(m -> m.term() > owner.term())
        .ifPresent(m -> updateOwner(new OwnerView(m.term(), m.entry(), m.peerAddress())));
    Optional<JobOwner> localOwner = ownership.current();
    if (localOwner.isPresent()) {
      candidateSinceMillis = 0;
      ownership.recordRenewalStops(localOwner.get().lastStoredRenewalStop());
      checkLocalOwner(localOwner.get());
    } else {
      checkOwner();
    }
    if (wakeUps.tryAcquire(intervalMillis(), TimeUnit.MILLISECONDS)) {
      wakeUps.drainPermits();
    }
  }

  /** Ends the term of the owner in this entry if it is deposed, or if its thread stands still. */
  private void checkLocalOwner(JobOwner localOwner) {
    boolean stalled = stallDetector.isStalled(localOwner.term(), localOwner.stepCount());
    if (stalled) {
      EventLog.warn(
          LogEvent.OWNER_STALLED, "term", localOwner.term(), "step", localOwner.stepCount());
      claimNotBeforeMillis = Clocks.monotonicMillis() + STALLED_CLAIM_PAUSE_MILLIS;
    }
    if (stalled || localOwner.isDeposed()) {
      ownership.end();
      members.announce(0);
      ownerLastHeardMillis = Clocks.monotonicMillis();
    }
  }

  private long intervalMillis() {
    boolean ownerFollowed =
        candidateSinceMillis == 0
            && owner.term() > 0
            && ownership.current().isEmpty()
            && Clocks.monotonicMillis() >= suspectedUntilMillis;
    return ownerFollowed
        ? claimOrder.pollIntervalMillis(owner.entry(), members.others())
        : CHECK_INTERVAL_MILLIS;
  }

  /** Returns whether this entry is one of the few that are to replace the owner. */
  boolean isSuccessor() {
    return owner.term() > 0 && claimOrder.isSuccessor(owner.entry(), members.others());
  }

  private void checkOwner() throws InterruptedException {
    boolean ownerHealthy =
        !owner.entry().isEmpty() && !owner.entry().equals(entry) && isOwnerHealthy();
    if (ownerHealthy) {
      candidateSinceMillis = 0;
    } else if (!released
        && members.isInitialized()
        && Clocks.monotonicMillis() >= claimNotBeforeMillis) {
      standForElection();
    }
  }

  /** Queries the owner. Returns whether it replies, owns the jobs and reaches the store. */
  private boolean isOwnerHealthy() {
    try {
      Optional<PeerMessage> reply = links.ask(owner.address(), createQuery());
      if (reply.isPresent() && reply.get() instanceof OwnershipReply ownerReply) {
        ownerLastHeardMillis = Clocks.monotonicMillis();
        ownership.recordRenewalStops(ownerReply.renewalStop());
        if (ownerReply.term() > owner.term()) {
          updateOwner(
              new OwnerView(ownerReply.term(), ownerReply.owner(), ownerReply.ownerAddress()));
          return true;
        }
        boolean lostStore =
            ownerReply.storeSilentMillis() >= STORE_TIMEOUT_MILLIS
                && store.lastAnswerAgeMillis() < STORE_TIMEOUT_MILLIS;
        boolean starting =
            ownerReply.entry().equals(owner.entry())
                && ownerReply.candidate()
                && Clocks.monotonicMillis() - ownerChangedMillis < NEW_OWNER_GRACE_MILLIS;
        return starting || (ownerReply.owning() && !lostStore);
      }
    } catch (IOException e) {
      // an owner that does not reply counts as healthy until the time-out below
    }
    return Clocks.monotonicMillis() - ownerLastHeardMillis < OWNER_TIMEOUT_MILLIS;
  }

  private OwnershipQuery createQuery() {
    return new OwnershipQuery(entry, owner.term(), store.silentMillis());
  }

  private void standForElection() throws InterruptedException {
    long nowMillis = Clocks.monotonicMillis();
    OwnerView replacedOwner = owner;
    if (candidateSinceMillis == 0) {
      candidateSinceMillis = nowMillis;
      if (replacedOwner.term() > 0) {
        EventLog.warn(
            LogEvent.OWNER_SILENT,
            "term",
            replacedOwner.term(),
            "owner",
            replacedOwner.entry(),
            "silent-ms",
            nowMillis - ownerLastHeardMillis);
      }
    }
    if (store.silentMillis() >= STORE_TIMEOUT_MILLIS) {
      return;
    }
    List<OwnershipReply> replies = queryMembers(replacedOwner.entry());
    for (OwnershipReply reply : replies) {
      if (reply.term() > replacedOwner.term()) {
        updateOwner(new OwnerView(reply.term(), reply.owner(), reply.ownerAddress()));
        return;
      }
      boolean ownerAnswersOthers =
          reply.term() == replacedOwner.term()
              && replacedOwner.term() > 0
              && reply.ownerSilentMillis() < OWNER_TIMEOUT_MILLIS
              && nowMillis - ownerLastHeardMillis >= OWNER_TIMEOUT_MILLIS;
      if (ownerAnswersOthers) {
        return;
      }
    }
    long delayMillis =
        claimOrder.claimDelayMillis(
            replacedOwner.entry(), members.others(), replies, STORE_TIMEOUT_MILLIS);
    if (nowMillis - candidateSinceMillis >= delayMillis) {
      claim(replacedOwner.term());
    }
  }

  private List<OwnershipReply> queryMembers(String replacedOwner) throws InterruptedException {
    List<Callable<Optional<PeerMessage>>> queries = new ArrayList<>();
    for (MemberRecord member : claimOrder.entriesToAsk(replacedOwner, members.others())) {
      queries.add(() -> links.ask(member.peerAddress(), createQuery()));
    }
    List<OwnershipReply> replies = new ArrayList<>();
    for (Future<Optional<PeerMessage>> future :
        peerExecutor.invokeAll(queries, 2 * REPLY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
      try {
        if (!future.isCancelled() && future.get().orElse(null) instanceof OwnershipReply reply) {
          replies.add(reply);
        }
      } catch (ExecutionException e) {
        // the entry is gone or disconnected; only the replies of the others count
      }
    }
    return replies;
  }

  /** Claims the jobs from the owner of a term, unless a newer owner is found meanwhile. */
  private void claim(long replacedTerm) throws InterruptedException {
    OwnershipManager.ClaimResult result =
        ownership.claim(entry, peerAddress, replacedTerm, members::isReplaced, this::isFollowed);
    if (result instanceof OwnershipManager.ClaimResult.Overtaken overtaken) {
      updateOwner(overtaken.owner());
    }
    if (!(result instanceof OwnershipManager.ClaimResult.Won won)) {
      return;
    }
    long term = won.owner().term();
    updateOwner(new OwnerView(term, entry, peerAddress));
    members.announce(term);
    OwnershipReply announcement = createReply();
    for (MemberRecord member : members.others()) {
      peerExecutor.execute(() -> announceTo(member, announcement));
    }
  }

  private void announceTo(MemberRecord member, OwnershipReply announcement) {
    try {
      links.ask(member.peerAddress(), announcement);
    } catch (IOException e) {
      // the entry will read the announcement from the store
    }
  }

  private void updateOwner(OwnerView newOwner) {
    if (newOwner.term() <= owner.term() || newOwner.entry().isEmpty()) {
      return;
    }
    ownership.recordTerm(newOwner.term());
    owner = newOwner;
    ownerLastHeardMillis = Clocks.monotonicMillis();
    ownerChangedMillis = ownerLastHeardMillis;
    candidateSinceMillis = 0;
    EventLog.info(LogEvent.OWNER_CHANGED, "term", newOwner.term(), "owner", newOwner.entry());
    ownership
        .current()
        .filter(localOwner -> localOwner.term() < newOwner.term())
        .ifPresent(localOwner -> ownership.end());
  }

  /** Answers another entry's query. */
  OwnershipReply handleQuery(OwnershipQuery query) {
    if (query.term() > owner.term()) {
      followers.removeFollower(query.entry());
    } else {
      followers.addFollower(query.entry(), Clocks.monotonicMillis());
    }
    if (query.term() == owner.term() && ownership.current().isEmpty()) {
      suspectOwner();
    }
    return createReply();
  }

  /**
   * Checks the owner at once, and often for a while: only candidates query entries that are not the
   * owner.
   */
  private void suspectOwner() {
    long nowMillis = Clocks.monotonicMillis();
    boolean alreadySuspected = nowMillis < suspectedUntilMillis;
    suspectedUntilMillis = nowMillis + SUSPICION_MILLIS;
    if (!alreadySuspected) {
      wakeUps.release();
    }
  }

  /** Handles another entry's announcement, and replies with the owner known afterwards. */
  OwnershipReply handleAnnouncement(OwnershipReply announcement) {
    updateOwner(
        new OwnerView(announcement.term(), announcement.owner(), announcement.ownerAddress()));
    return createReply();
  }

  private OwnershipReply createReply() {
    Optional<JobOwner> localOwner = ownership.current().filter(o -> !o.isDeposed());
    long ownerSilent = localOwner.isPresent() ? 0 : Clocks.monotonicMillis() - ownerLastHeardMillis;
    OwnerView knownOwner = owner;
    return new OwnershipReply(
        entry,
        knownOwner.term(),
        knownOwner.entry(),
        knownOwner.address(),
        localOwner.isPresent() && localOwner.get().term() == knownOwner.term(),
        ownerSilent,
        store.silentMillis(),
        !released && Clocks.monotonicMillis() >= claimNotBeforeMillis,
        claimOrder.processorMillis(),
        localOwner.map(JobOwner::lastStoredRenewalStop).orElse(0L));
  }

  /**
   * Releases the jobs, so that another entry can claim them at once, and never claims them again.
   */
  void release() {
    released = true;
    ownership.close();
  }

  @Override
  public void close() {
    release();
    if (thread != null) {
      thread.close();
    }
    peerExecutor.shutdownNow();
    links.close();
  }
}
