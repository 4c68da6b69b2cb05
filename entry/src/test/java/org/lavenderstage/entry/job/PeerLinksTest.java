package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.lavenderstage.wire.peer.OwnershipQuery;

class PeerLinksTest {
  private static final int USUAL_MILLIS = 60_000;
  private static final int SHORT_MILLIS = 100;

  @Test
  void aQuestionToASilentPeerEndsWithinTheTimeThatTheCallerHas() throws IOException {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        PeerLinks links = new PeerLinks(USUAL_MILLIS)) {
      String address = "127.0.0.1:" + silent.getLocalPort();
      long start = Time.steadyMillis();
      assertThrows(
          IOException.class, () -> links.ask(address, new OwnershipQuery("a", 1, 0), SHORT_MILLIS));
      assertTrue(Time.steadyMillis() - start < USUAL_MILLIS / 2);
    }
  }
}
