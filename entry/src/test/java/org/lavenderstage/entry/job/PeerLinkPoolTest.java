package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.wire.peer.OwnershipQuery;
import org.lavenderstage.wire.peer.PeerMessage;

class PeerLinkPoolTest {
  private static final int LINKS = 5;
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final PeerMessage QUERY = new OwnershipQuery("entry-1@1", 1, 0);

  /** The server's thread of each open link; a link stays with its thread. */
  private final Set<Thread> serving = ConcurrentHashMap.newKeySet();

  private final Set<Thread> silent = ConcurrentHashMap.newKeySet();
  private final CountDownLatch allLinksInUse = new CountDownLatch(LINKS);

  private Optional<PeerMessage> handle(PeerMessage message) {
    serving.add(Thread.currentThread());
    allLinksInUse.countDown();
    await(allLinksInUse);
    return silent.contains(Thread.currentThread()) ? Optional.empty() : Optional.of(message);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(10, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** An owner whose idle links had gone silent counted as lost after one time-out for each. */
  @Test
  void onlyOneQueryTimesOutAfterAllIdleLinksToItsEntryHaveGoneSilent() throws Exception {
    try (PeerServer server = new PeerServer("127.0.0.1", 0, this::handle);
        PeerLinkPool pool = new PeerLinkPool(TIMEOUT_MILLIS)) {
      server.start();
      String address = "127.0.0.1:" + server.port();
      List<CompletableFuture<Optional<PeerMessage>>> queries = new ArrayList<>();
      for (int i = 0; i < LINKS; i++) {
        queries.add(CompletableFuture.supplyAsync(() -> ask(pool, address), this::runInThread));
      }
      for (CompletableFuture<Optional<PeerMessage>> query : queries) {
        assertTrue(query.get(10, TimeUnit.SECONDS).isPresent());
      }
      silent.addAll(serving);
      assertThrows(SocketTimeoutException.class, () -> pool.ask(address, QUERY));
      assertTrue(pool.ask(address, QUERY).isPresent());
    }
  }

  private void runInThread(Runnable task) {
    Thread.ofPlatform().daemon().start(task);
  }

  private static Optional<PeerMessage> ask(PeerLinkPool pool, String address) {
    try {
      return pool.ask(address, QUERY);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
