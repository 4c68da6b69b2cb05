package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lavenderstage.core.membership.Member;
import org.lavenderstage.entry.vm.VmDirectory;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

class MembershipTest {
  private static final int HEARTBEAT_MILLIS = 20;
  private static final int HEARTBEATS = 5;

  @Test
  @Timeout(60)
  void sendsHeartbeatsToLivePeerWhileAnotherNeverReplies()
      throws IOException, InterruptedException {
    CountDownLatch remainingHeartbeats = new CountDownLatch(HEARTBEATS);
    try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        PeerServer live =
            new PeerServer("127.0.0.1", 0, message -> countHeartbeat(remainingHeartbeats));
        VmDirectory directory =
            new VmDirectory(
                () ->
                    List.of(
                        entry("dead", 1),
                        entry("unresponsive", unresponsive.getLocalPort()),
                        of(live)),
                HEARTBEAT_MILLIS)) {
      Member self = new Member("self", "vm", "d", "127.0.0.1:2", 0, 0, "", false);
      try (Membership membership =
          new Membership(() -> self, directory, new PublishedSlotState(), HEARTBEAT_MILLIS)) {
        live.start();
        directory.start();
        membership.start();
        remainingHeartbeats.await();
      }
    }
  }

  private static Optional<org.lavenderstage.wire.peer.PeerMessage> countHeartbeat(
      CountDownLatch remainingHeartbeats) {
    remainingHeartbeats.countDown();
    return Optional.empty();
  }

  private static VmEntry of(PeerServer server) {
    return entry("live", server.port());
  }

  private static VmEntry entry(String id, int port) {
    return new VmEntry(id, "127.0.0.1:" + port, "d", "r", VmRole.ENTRY, false, 0, 0, 0, "");
  }
}
