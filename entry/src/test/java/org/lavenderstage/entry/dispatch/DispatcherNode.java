package org.lavenderstage.entry.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.core.routing.SlotTiming;
import org.lavenderstage.entry.peer.Membership;
import org.lavenderstage.entry.peer.PeerServer;
import org.lavenderstage.entry.peer.PublishedSlotState;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** A dispatcher with its connections to peers, without the other parts of an entry. */
final class DispatcherNode implements AutoCloseable {
  private static final int HEARTBEAT_MILLIS = 50;
  private static final int RING_SIZE = 1024;

  private final String vm;
  private final AtomicReference<Dispatcher> dispatcher = new AtomicReference<>();
  private final VmDirectory directory;
  private final PeerServer server;
  private final Membership membership;

  DispatcherNode(String vm, AtomicReference<List<VmEntry>> vmList, ExecutorClient client) {
    this.vm = vm;
    String incarnation = vm + "-" + UUID.randomUUID();
    directory = new VmDirectory(vmList::get, HEARTBEAT_MILLIS);
    server = new PeerServer("127.0.0.1", 0, this::handle);
    PublishedSlotState slotState = new PublishedSlotState();
    Member self = new Member(incarnation, vm, "d", "127.0.0.1:" + server.port(), 0, 0, "", false);
    membership = new Membership(() -> self, directory, slotState, HEARTBEAT_MILLIS);
    SlotTiming timing =
        new SlotTiming(
            Duration.ofSeconds(60).toNanos(),
            Duration.ofSeconds(40).toNanos(),
            Duration.ofSeconds(40).toNanos(),
            Duration.ofMillis(HEARTBEAT_MILLIS).toNanos());
    DispatcherContext context =
        new DispatcherContext(
            vm,
            incarnation,
            directory,
            slotState,
            membership::peerAddress,
            timing,
            Duration.ofSeconds(1).toNanos());
    dispatcher.set(new Dispatcher(client, context, RING_SIZE));
    server.start();
  }

  void start() {
    directory.start();
    membership.start();
  }

  private Optional<PeerMessage> handle(PeerMessage message) {
    if (message instanceof Heartbeat heartbeat) {
      membership.recordHeartbeat(heartbeat);
    }
    return dispatcher.get().handlePeerMessage(message);
  }

  VmEntry vmEntry() {
    String address = "127.0.0.1:" + server.port();
    return new VmEntry(vm, address, "d", "r", VmRole.ENTRY, false, 0, 0, 0, "");
  }

  boolean isReady() {
    return dispatcher.get().isReady();
  }

  CompletableFuture<DispatchResult> submit(int number) {
    ExecutorRequest request =
        new ExecutorRequest("id" + number, "w" + number % 3, "s", "", "text/plain", new byte[1]);
    CompletableFuture<DispatchResult> result = new CompletableFuture<>();
    long deadline = System.nanoTime() + Duration.ofSeconds(30).toNanos();
    dispatcher
        .get()
        .submit(
            new DispatchRequest(
                request, new RequestPriority(1, 1, false), true, deadline, () -> true, result));
    return result;
  }

  @Override
  public void close() {
    membership.close();
    directory.close();
    dispatcher.get().close();
    server.close();
  }
}
