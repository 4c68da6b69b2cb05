package org.lavenderstage.entry.dispatch;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lavenderstage.entry.duty.BoundedRing;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.entry.peer.PeerLink;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;

/** Asks peers for slots and returns them, on a thread of its own, one message at a time. */
final class LendingDuty implements AutoCloseable {
  private static final int RING_SIZE = 256;
  private static final int LINK_TIMEOUT_MILLIS = 100;
  private static final int MAX_DRAIN = 16;
  private static final long IDLE_MICROS = 500;

  private final Function<String, Optional<String>> peerAddress;
  private final Consumer<DispatchEvent> events;
  private final BoundedRing<Errand> ring = new BoundedRing<>(RING_SIZE);
  private final Map<String, PeerLink> links = new HashMap<>();
  private final Duty duty;

  LendingDuty(Function<String, Optional<String>> peerAddress, Consumer<DispatchEvent> events) {
    this.peerAddress = peerAddress;
    this.events = events;
    this.duty = new Duty("lending", this::step);
  }

  /** Asks a peer; its answer comes as an event. */
  void ask(String vm, SlotAsk ask) {
    ring.offer(new Errand(vm, ask, System.nanoTime()));
  }

  /** Returns slots; where the message is lost, the lender waits for the end of the lease. */
  void giveBack(String vm, SlotReturn returned) {
    ring.offer(new Errand(vm, returned, System.nanoTime()));
  }

  private void step() throws InterruptedException {
    if (ring.drain(MAX_DRAIN, this::run) == 0) {
      TimeUnit.MICROSECONDS.sleep(IDLE_MICROS);
    }
  }

  private void run(Errand errand) {
    Optional<String> address = peerAddress.apply(errand.vm());
    try {
      if (address.isPresent()) {
        send(errand, link(address.get()));
      } else {
        failed(errand);
      }
    } catch (IOException e) {
      failed(errand);
    }
  }

  private PeerLink link(String address) {
    return links.computeIfAbsent(address, key -> new PeerLink(key, LINK_TIMEOUT_MILLIS));
  }

  private void send(Errand errand, PeerLink link) throws IOException {
    if (!(errand.message() instanceof SlotAsk ask)) {
      link.send(errand.message());
      return;
    }
    Optional<PeerMessage> reply = link.ask(ask);
    if (reply.isPresent() && reply.get() instanceof SlotGrant grant) {
      events.accept(new DispatchEvent.Granted(grant, ask.service(), errand.atNanos()));
    } else {
      failed(errand);
    }
  }

  private void failed(Errand errand) {
    if (errand.message() instanceof SlotAsk ask) {
      events.accept(new DispatchEvent.AskFailed(errand.vm(), ask.service()));
    }
  }

  @Override
  public void close() {
    duty.close();
    links.values().forEach(PeerLink::close);
  }

  private record Errand(String vm, PeerMessage message, long atNanos) {}
}
