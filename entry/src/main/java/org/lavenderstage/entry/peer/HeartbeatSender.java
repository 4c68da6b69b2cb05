package org.lavenderstage.entry.peer;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.SlotState;

/**
 * Sends heartbeats to one peer on a separate thread, so that an unreachable peer does not delay the
 * others. The delay grows with each failure in a row, up to a limit; only the first failure and the
 * recovery are logged.
 */
final class HeartbeatSender implements AutoCloseable {
  private static final int LINK_TIMEOUT_MILLIS = 200;
  private static final int MAX_BACKOFF_HEARTBEATS = 4;
  private static final int MIN_INTERVAL_MILLIS = 5;

  private final String address;
  private final Supplier<Heartbeat> heartbeat;
  private final PublishedSlotState slotState;
  private final int heartbeatMillis;
  private final PeerLink link;
  private final BackgroundThread thread;
  private int failures;
  private long lastUrgentChanges;

  HeartbeatSender(
      String address,
      Supplier<Heartbeat> heartbeat,
      PublishedSlotState slotState,
      int heartbeatMillis) {
    this.address = address;
    this.heartbeat = heartbeat;
    this.slotState = slotState;
    this.heartbeatMillis = heartbeatMillis;
    this.link = new PeerLink(address, LINK_TIMEOUT_MILLIS);
    this.thread = new BackgroundThread("heartbeat", this::sendOnce);
  }

  private void sendOnce() throws InterruptedException {
    lastUrgentChanges = slotState.urgentChanges();
    try {
      link.send(heartbeat.get());
      Optional<SlotState> state = slotState.state();
      if (state.isPresent()) {
        link.send(state.get());
      }
      recordSuccess();
    } catch (IOException e) {
      recordFailure(e);
    }
    if (failures > 0) {
      int factor = Math.min(failures, MAX_BACKOFF_HEARTBEATS);
      TimeUnit.MILLISECONDS.sleep((long) heartbeatMillis * factor);
    } else {
      TimeUnit.MILLISECONDS.sleep(MIN_INTERVAL_MILLIS);
      slotState.awaitUrgentChange(lastUrgentChanges, heartbeatMillis);
    }
  }

  private void recordSuccess() {
    if (failures > 0) {
      EventLog.info(LogEvent.PEER_RECOVERED, "peer", address, "failures", failures);
    }
    failures = 0;
  }

  private void recordFailure(IOException cause) {
    failures++;
    if (failures == 1) {
      EventLog.info(LogEvent.PEER_FAILED, "peer", address, "cause", cause.getMessage());
    }
  }

  @Override
  public void close() {
    thread.close();
    link.close();
  }
}
