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
import java.util.concurrent.TimeUnit;
import org.lavenderstage.core.job.MemberRecord;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.OwnershipQuery;
import org.lavenderstage.wire.peer.OwnershipReply;
import org.lavenderstage.wire.peer.PeerMessage;

/**
 * Watches the owner of the jobs and replaces it where it is gone or has lost the store. The claim
 * in the log decides; the questions between the entries only keep several from claiming at once.
 */
final class OwnerElection implements AutoCloseable {
  /** Time between two questions to the owner, in milliseconds. */
  private static final long POLL_MILLIS = 200;

  /** Silence after which an owner counts as lost, in milliseconds; several polls. */
  private static final long OWNER_SILENT_MILLIS = 900;

  /**
   * Silence of the store after which an owner is replaced, in milliseconds; twice what a read that
   * waits for changes takes.
   */
  private static final long STORE_SILENT_MILLIS = 1_000;

  /**
   * Time for a new owner to read what its workers run before it counts as lost, in milliseconds.
   */
  private static final long NEW_OWNER_MILLIS = 1_500;

  /** Longest wait for one entry's reply, in milliseconds; many round trips. */
  private static final int REPLY_MILLIS = 350;

  /** Head start of each entry over the next one, in milliseconds; about one claim. */
  private static final long HEAD_START_MILLIS = 500;

  /**
   * Time within which a peer's question shows that it still follows this owner, in milliseconds.
   */
  private static final long FOLLOWED_MILLIS = 1_000;

  private final String entry;
  private final String peerAddress;
  private final ClaimOrder order;
  private final Members members;
  private final ConfigurationWatch store;
  private final OwnerTerms terms;
  private final PeerLinks links = new PeerLinks(REPLY_MILLIS);
  private final ExecutorService askers;
  private final Followers followers = new Followers(FOLLOWED_MILLIS);
  private volatile OwnerView owner = OwnerView.NONE;
  private volatile long ownerHeardMillis;
  private volatile long learnedMillis;
  private volatile boolean closing;
  private long candidateSinceMillis;
  private Duty duty;

  OwnerElection(
      String entry,
      String peerAddress,
      int processorMillis,
      Members members,
      ConfigurationWatch store,
      OwnerTerms terms) {
    this.entry = entry;
    this.peerAddress = peerAddress;
    this.order = new ClaimOrder(entry, processorMillis);
    this.members = members;
    this.store = store;
    this.terms = terms;
    askers =
        Executors.newCachedThreadPool(
            task -> Thread.ofPlatform().daemon().name("ask-peer").unstarted(task));
  }

  void start() {
    ownerHeardMillis = Time.steadyMillis();
    duty = new Duty("election", this::step);
  }

  /** Returns the owner that this entry knows, possibly itself. */
  OwnerView owner() {
    return owner;
  }

  /** Tells whether a majority of the entries, this one among them, still follows this owner. */
  boolean isFollowed() {
    return followers.areMajority(members.others().size(), Time.steadyMillis());
  }

  private void step() throws InterruptedException {
    members
        .highestTerm()
        .filter(m -> m.term() > owner.term())
        .ifPresent(m -> learn(new OwnerView(m.term(), m.entry(), m.peerAddress())));
    Optional<JobOwner> mine = terms.current();
    if (mine.isPresent()) {
      candidateSinceMillis = 0;
      if (mine.get().isDeposed()) {
        terms.end();
        members.announce(0);
        ownerHeardMillis = Time.steadyMillis();
      }
    } else {
      follow();
    }
    Thread.sleep(POLL_MILLIS);
  }

  private void follow() throws InterruptedException {
    boolean sound = !owner.entry().isEmpty() && !owner.entry().equals(entry) && askOwner();
    if (sound) {
      candidateSinceMillis = 0;
    } else if (!closing && members.isComplete()) {
      standForElection();
    }
  }

  /** Asks the owner; returns whether it is there, owns the jobs and reaches the store. */
  private boolean askOwner() {
    try {
      Optional<PeerMessage> reply = links.ask(owner.address(), question());
      if (reply.isPresent() && reply.get() instanceof OwnershipReply r) {
        ownerHeardMillis = Time.steadyMillis();
        if (r.term() > owner.term()) {
          learn(new OwnerView(r.term(), r.owner(), r.ownerAddress()));
          return true;
        }
        boolean lostStore =
            r.storeSilentMillis() > STORE_SILENT_MILLIS
                && store.storeSilentMillis() < STORE_SILENT_MILLIS;
        boolean starting =
            r.entry().equals(owner.entry())
                && r.candidate()
                && Time.steadyMillis() - learnedMillis < NEW_OWNER_MILLIS;
        return starting || (r.owning() && !lostStore);
      }
    } catch (IOException e) {
      // told below once the silence lasts
    }
    return Time.steadyMillis() - ownerHeardMillis < OWNER_SILENT_MILLIS;
  }

  private OwnershipQuery question() {
    return new OwnershipQuery(entry, owner.term(), store.storeSilentMillis());
  }

  private void standForElection() throws InterruptedException {
    long now = Time.steadyMillis();
    OwnerView replaced = owner;
    if (candidateSinceMillis == 0) {
      candidateSinceMillis = now;
      if (replaced.term() > 0) {
        EventLog.warn(
            LogEvent.OWNER_SILENT,
            "term",
            replaced.term(),
            "owner",
            replaced.entry(),
            "silent-ms",
            now - ownerHeardMillis);
      }
    }
    if (store.storeSilentMillis() > STORE_SILENT_MILLIS) {
      return;
    }
    List<OwnershipReply> replies = askAll();
    for (OwnershipReply reply : replies) {
      if (reply.term() > replaced.term()) {
        learn(new OwnerView(reply.term(), reply.owner(), reply.ownerAddress()));
        return;
      }
      boolean othersHearIt =
          reply.term() == replaced.term()
              && replaced.term() > 0
              && reply.ownerSilentMillis() < OWNER_SILENT_MILLIS
              && now - ownerHeardMillis >= OWNER_SILENT_MILLIS;
      if (othersHearIt) {
        return;
      }
    }
    long rank = order.before(replaced.entry(), replies, STORE_SILENT_MILLIS);
    if (now - candidateSinceMillis >= rank * HEAD_START_MILLIS) {
      claim(replaced.term());
    }
  }

  private List<OwnershipReply> askAll() throws InterruptedException {
    List<Callable<Optional<PeerMessage>>> questions = new ArrayList<>();
    for (MemberRecord member : members.others()) {
      questions.add(() -> links.ask(member.peerAddress(), question()));
    }
    List<OwnershipReply> replies = new ArrayList<>();
    for (Future<Optional<PeerMessage>> asked :
        askers.invokeAll(questions, 2 * REPLY_MILLIS, TimeUnit.MILLISECONDS)) {
      try {
        if (!asked.isCancelled() && asked.get().orElse(null) instanceof OwnershipReply reply) {
          replies.add(reply);
        }
      } catch (ExecutionException e) {
        // an entry that cannot be asked is gone or cut off; the others count
      }
    }
    return replies;
  }

  /** Claims the jobs from the owner of a term; one that was heard of meanwhile keeps them. */
  private void claim(long replacedTerm) throws InterruptedException {
    OwnerTerms.Claim claim =
        terms.claim(entry, peerAddress, replacedTerm, members::isReplaced, this::isFollowed);
    if (claim instanceof OwnerTerms.Claim.Overtaken overtaken) {
      learn(overtaken.owner());
    }
    if (!(claim instanceof OwnerTerms.Claim.Won won)) {
      return;
    }
    long term = won.owner().term();
    learn(new OwnerView(term, entry, peerAddress));
    members.announce(term);
    OwnershipReply announcement = reply();
    for (MemberRecord member : members.others()) {
      askers.execute(() -> tell(member, announcement));
    }
  }

  private void tell(MemberRecord member, OwnershipReply announcement) {
    try {
      links.ask(member.peerAddress(), announcement);
    } catch (IOException e) {
      // the entry learns of the owner from the store
    }
  }

  private void learn(OwnerView next) {
    if (next.term() <= owner.term() || next.entry().isEmpty()) {
      return;
    }
    owner = next;
    ownerHeardMillis = Time.steadyMillis();
    learnedMillis = ownerHeardMillis;
    candidateSinceMillis = 0;
    EventLog.info(LogEvent.OWNER_CHANGED, "term", next.term(), "owner", next.entry());
    terms.current().filter(mine -> mine.term() < next.term()).ifPresent(mine -> terms.end());
  }

  /** Answers another entry's question. */
  OwnershipReply answer(OwnershipQuery question) {
    if (question.term() > owner.term()) {
      followers.left(question.entry());
    } else {
      followers.heard(question.entry(), Time.steadyMillis());
    }
    return reply();
  }

  /** Takes another entry's announcement, and answers with what this one knows then. */
  OwnershipReply announced(OwnershipReply announcement) {
    learn(new OwnerView(announcement.term(), announcement.owner(), announcement.ownerAddress()));
    return reply();
  }

  private OwnershipReply reply() {
    Optional<JobOwner> mine = terms.current().filter(o -> !o.isDeposed());
    // An owner that is busy hears of its appends late; that the store answers it is known sooner.
    long silent =
        Math.min(
            store.storeSilentMillis(),
            mine.map(JobOwner::storeSilentMillis).orElse(Long.MAX_VALUE));
    long ownerSilent = mine.isPresent() ? 0 : Time.steadyMillis() - ownerHeardMillis;
    OwnerView known = owner;
    return new OwnershipReply(
        entry,
        known.term(),
        known.entry(),
        known.address(),
        mine.isPresent() && mine.get().term() == known.term(),
        ownerSilent,
        silent,
        !closing,
        order.processorMillis());
  }

  /**
   * Gives up the jobs, so that another entry claims them at once, and does not claim them again.
   */
  void release() {
    closing = true;
    terms.close();
  }

  @Override
  public void close() {
    release();
    if (duty != null) {
      duty.close();
    }
    askers.shutdownNow();
    links.close();
  }
}
