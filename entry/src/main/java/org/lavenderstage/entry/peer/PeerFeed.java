package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lavenderstage.entry.duty.Duty;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.SlotState;

/**
 * Sends heartbeats to one peer on a thread of its own, so that a dead peer delays nobody. After a
 * failure it waits longer and longer; only the first failure and the recovery are logged.
 */
final class PeerFeed implements AutoCloseable {
  private static final int LINK_TIMEOUT_MILLIS = 200;
  private static final int MAX_BACKOFF_HEARTBEATS = 4;
  private static final int MIN_INTERVAL_MILLIS = 5;

  private final String address;
  private final Supplier<Heartbeat> heartbeat;
  private final SlotBoard board;
  private final int heartbeatMillis;
  private final PeerLink link;
  private final Duty duty;
  private int failures;
  private long seenChanges;

  PeerFeed(String address, Supplier<Heartbeat> heartbeat, SlotBoard board, int heartbeatMillis) {
    this.address = address;
    this.heartbeat = heartbeat;
    this.board = board;
    this.heartbeatMillis = heartbeatMillis;
    this.link = new PeerLink(address, LINK_TIMEOUT_MILLIS);
    this.duty = new Duty("heartbeat", this::step);
  }

  private void step() throws InterruptedException {
    seenChanges = board.changes();
    try {
      link.send(heartbeat.get());
      Optional<SlotState> state = board.state();
      if (state.isPresent()) {
        link.send(state.get());
      }
      succeeded();
    } catch (IOException e) {
      failed(e);
    }
    if (failures > 0) {
      int factor = Math.min(failures, MAX_BACKOFF_HEARTBEATS);
      TimeUnit.MILLISECONDS.sleep((long) heartbeatMillis * factor);
    } else {
      TimeUnit.MILLISECONDS.sleep(MIN_INTERVAL_MILLIS);
      board.awaitChange(seenChanges, heartbeatMillis);
    }
  }

  private void succeeded() {
    if (failures > 0) {
      EventLog.info(LogEvent.PEER_RECOVERED, "peer", address, "failures", failures);
    }
    failures = 0;
  }

  private void failed(IOException cause) {
    failures++;
    if (failures == 1) {
      EventLog.info(LogEvent.PEER_FAILED, "peer", address, "cause", cause.getMessage());
    }
  }

  @Override
  public void close() {
    duty.close();
    link.close();
  }
}
