package org.lavenderstage.entry.peer;

import java.util.Optional;
import org.lavenderstage.wire.peer.PeerMessage;

/** Handles the messages of peers. */
@FunctionalInterface
public interface PeerHandler {
  /**
   * Handles a message. May block.
   *
   * @param message the message
   * @return the reply, empty if the message needs none
   */
  Optional<PeerMessage> handle(PeerMessage message);
}
