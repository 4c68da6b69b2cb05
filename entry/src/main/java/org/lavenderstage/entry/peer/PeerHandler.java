package org.lavenderstage.entry.peer;

import java.util.Optional;
import org.lavenderstage.wire.peer.PeerMessage;

/** Takes the messages of peers. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Takes one message; it may block.
   *
   * @param message the message
   * @return the reply, empty where the message asks for none
   */
  Optional<PeerMessage> handle(PeerMessage message);
}
