package org.lavenderstage.entry.job;

import org.lavenderstage.entry.admin.EntryMetrics;
import org.lavenderstage.http.ClientBudget;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/**
 * The budget of an entry's clients, and how the descriptors of its process are shared out among
 * them. What is not given to clients is left for the entry's own connections.
 */
final class ClientLimits {
  /** Descriptors that the platform reserves for files. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Part of the descriptors for callers: one of this number. */
  private static final int CALLER_PARTS = 4;

  /**
   * Part of the descriptors for peers. Each entry has up to 26 links to the owner, one for each
   * request that it forwards at a time and two of the election; 60 entries must find room.
   */
  private static final double PEER_FRACTION = 0.4;

  /** Part of the descriptors for readiness checks, and for reads of metrics: one of this number. */
  private static final int PROBE_PARTS = 16;

  /** What an idle connection of a caller takes of the heap, at most, in bytes. */
  private static final int CALLER_BYTES = 65_536;

  /** What an idle connection of a peer takes of the VM, with its thread, at most, in bytes. */
  private static final int PEER_BYTES = 98_304;

  private final ClientBudget budget = ClientBudget.ofProcess(ClientLimits::log);
  private final int sockets;
  private final long heapBytes = Runtime.getRuntime().maxMemory();

  ClientLimits(int maxDescriptors, EntryMetrics metrics) {
    sockets = Math.max(PROBE_PARTS, maxDescriptors - FILE_DESCRIPTORS);
    metrics.gauge(
        "lavenderstage_client_bytes",
        "Bytes held for requests of clients and answers that they have not read.",
        () -> budget.counts().heldBytes());
    metrics.gauge(
        "lavenderstage_client_connections",
        "Open connections of callers, probes and peers.",
        () -> budget.counts().connections());
    metrics.gauge(
        "lavenderstage_clients_refused",
        "Requests and connections refused so far for want of room.",
        () -> budget.counts().refused());
    metrics.gauge(
        "lavenderstage_clients_evicted",
        "Clients evicted so far to make room for others.",
        () -> budget.counts().evicted());
  }

  private static void log(ClientBudget.Counts counts) {
    EventLog.warn(
        LogEvent.CLIENTS_REFUSED,
        "held-bytes",
        counts.heldBytes(),
        "max-bytes",
        counts.maxBytes(),
        "connections",
        counts.connections(),
        "refused",
        counts.refused(),
        "evicted",
        counts.evicted());
  }

  ClientBudget budget() {
    return budget;
  }

  int maxCallerConnections() {
    return (int) Math.min(sockets / CALLER_PARTS, heapBytes / CALLER_BYTES);
  }

  int maxProbeConnections() {
    return sockets / PROBE_PARTS;
  }

  int maxPeerConnections() {
    return maxPeerConnections(sockets, heapBytes);
  }

  static int maxPeerConnections(int sockets, long heapBytes) {
    return (int) Math.min((long) (sockets * PEER_FRACTION), heapBytes / PEER_BYTES);
  }
}
