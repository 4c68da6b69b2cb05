package org.lavenderstage.entry.request;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.lavenderstage.core.claim.ClaimAnswer;
import org.lavenderstage.core.claim.ClaimSubmission;
import org.lavenderstage.core.outcome.ResultCode;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.AnswerQuery;
import org.lavenderstage.wire.peer.AnswerReply;
import org.lavenderstage.wire.peer.PeerMessage;

/** Queries the owners of claims for answers. Each query has its own link and thread. */
final class OwnerQuery {
  private static final int MAX_QUERIES = 64;
  private static final int LINK_MARGIN_MILLIS = 100;

  private final OwnerDirectory owners;
  private final Semaphore permits = new Semaphore(MAX_QUERIES);
  private final AtomicLong lastId = new AtomicLong();

  OwnerQuery(OwnerDirectory owners) {
    this.owners = owners;
  }

  /**
   * Queries the owner without blocking. The reply is empty if the owner is not live, cannot be
   * reached or does not know the request, or if too many queries are in flight.
   */
  void askAsync(ClaimSubmission submission, String owner, Consumer<Optional<ClaimAnswer>> reply) {
    Optional<String> address = owners.peerAddress(owner);
    if (address.isEmpty() || !permits.tryAcquire()) {
      reply.accept(Optional.empty());
      return;
    }
    Thread.ofVirtual()
        .name("ask-owner")
        .start(
            () -> {
              Optional<ClaimAnswer> answer;
              try {
                answer = askBlocking(submission, address.get());
              } finally {
                permits.release();
              }
              reply.accept(answer);
            });
  }

  private Optional<ClaimAnswer> askBlocking(ClaimSubmission submission, String address) {
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(submission.deadlineNanos() - System.nanoTime());
    int waitMillis = Math.clamp(remainingMillis, 1, Integer.MAX_VALUE - LINK_MARGIN_MILLIS);
    AnswerQuery query =
        new AnswerQuery(
            lastId.incrementAndGet(),
            submission.key().workspace(),
            submission.key().key(),
            waitMillis);
    try (PeerLink link = new PeerLink(address, waitMillis + LINK_MARGIN_MILLIS)) {
      return link.exchange(query).flatMap(message -> answer(query, message));
    } catch (IOException e) {
      EventLog.info(LogEvent.OWNER_UNREACHABLE, "peer", address, "cause", e.getMessage());
      return Optional.empty();
    }
  }

  private static Optional<ClaimAnswer> answer(AnswerQuery query, PeerMessage message) {
    if (!(message instanceof AnswerReply reply) || reply.id() != query.id() || !reply.known()) {
      return Optional.empty();
    }
    return Arrays.stream(ResultCode.values())
        .filter(code -> code.number() == reply.code())
        .findFirst()
        .map(code -> new ClaimAnswer(code, reply.status(), reply.contentType(), reply.body(), 0));
  }

  /** Creates the reply to a peer's query; without an answer it says that the request is unknown. */
  static AnswerReply reply(AnswerQuery query, Optional<ClaimAnswer> answer) {
    if (answer.isEmpty()) {
      return new AnswerReply(query.id(), false, "", 0, 0, "", new byte[0]);
    }
    ClaimAnswer knownAnswer = answer.get();
    return new AnswerReply(
        query.id(),
        true,
        knownAnswer.code().outcome().header(),
        knownAnswer.code().number(),
        knownAnswer.status(),
        knownAnswer.contentType(),
        knownAnswer.body());
  }
}
