package org.lavenderstage.entry.dispatch;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;

/**
 * Requests slot loans from peers and returns borrowed slots. Messages are sent one at a time by a
 * background thread.
 */
final class SlotLoanClient implements AutoCloseable {
  private static final int QUEUE_SIZE = 256;
  private static final int LINK_TIMEOUT_MILLIS = 100;
  private static final int MAX_MESSAGES_PER_STEP = 16;
  private static final long IDLE_SLEEP_MICROS = 500;

  private final Function<String, Optional<String>> peerAddress;
  private final Consumer<DispatchEvent> events;
  private final BoundedRing<OutgoingMessage> queue = new BoundedRing<>(QUEUE_SIZE);
  private final Map<String, PeerLink> links = new HashMap<>();
  private final BackgroundThread thread;

  SlotLoanClient(Function<String, Optional<String>> peerAddress, Consumer<DispatchEvent> events) {
    this.peerAddress = peerAddress;
    this.events = events;
    this.thread = new BackgroundThread("lending", this::step);
  }

  /** Requests a loan from a peer; the reply or the failure is reported as an event. */
  void requestLoan(String vm, SlotAsk loanRequest) {
    queue.offer(new OutgoingMessage(vm, loanRequest, System.nanoTime()));
  }

  /** Returns slots to the lender; if the message is lost, the lender waits until the lease ends. */
  void returnSlots(String vm, SlotReturn returned) {
    queue.offer(new OutgoingMessage(vm, returned, System.nanoTime()));
  }

  private void step() throws InterruptedException {
    if (queue.drain(MAX_MESSAGES_PER_STEP, this::process) == 0) {
      TimeUnit.MICROSECONDS.sleep(IDLE_SLEEP_MICROS);
    }
  }

  private void process(OutgoingMessage outgoing) {
    Optional<String> address = peerAddress.apply(outgoing.vm());
    try {
      if (address.isPresent()) {
        send(outgoing, link(address.get()));
      } else {
        reportFailure(outgoing);
      }
    } catch (IOException e) {
      reportFailure(outgoing);
    }
  }

  private PeerLink link(String address) {
    return links.computeIfAbsent(address, key -> new PeerLink(key, LINK_TIMEOUT_MILLIS));
  }

  private void send(OutgoingMessage outgoing, PeerLink link) throws IOException {
    if (!(outgoing.message() instanceof SlotAsk loanRequest)) {
      link.send(outgoing.message());
      return;
    }
    Optional<PeerMessage> reply = link.exchange(loanRequest);
    if (reply.isPresent() && reply.get() instanceof SlotGrant grant) {
      events.accept(
          new DispatchEvent.LoanGranted(grant, loanRequest.service(), outgoing.queuedNanos()));
    } else {
      reportFailure(outgoing);
    }
  }

  private void reportFailure(OutgoingMessage outgoing) {
    if (outgoing.message() instanceof SlotAsk loanRequest) {
      events.accept(new DispatchEvent.LoanRequestFailed(outgoing.vm(), loanRequest.service()));
    }
  }

  @Override
  public void close() {
    thread.close();
    links.values().forEach(PeerLink::close);
  }

  private record OutgoingMessage(String vm, PeerMessage message, long queuedNanos) {}
}
