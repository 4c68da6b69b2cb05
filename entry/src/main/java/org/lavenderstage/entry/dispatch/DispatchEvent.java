package org.lavenderstage.entry.dispatch;

import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.core.admission.PlacedRequest;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;
import org.lavenderstage.wire.peer.SlotState;

/** What the dispatching thread is told. */
sealed interface DispatchEvent {
  /** A request arrived. */
  record Submitted(Attempt attempt) implements DispatchEvent {}

  /** An executor's result arrived. */
  record Ended(PlacedRequest<Attempt> placed, ExecutorResult result) implements DispatchEvent {}

  /** A peer told how it divides the slots. */
  record PeerState(SlotState state) implements DispatchEvent {}

  /** A peer asks for slots; the grant counts only where it completes the reply. */
  record PeerAsked(SlotAsk ask, CompletableFuture<SlotGrant> reply) implements DispatchEvent {}

  /** A peer returned slots. */
  record PeerReturned(SlotReturn returned) implements DispatchEvent {}

  /** A peer lent slots. */
  record Granted(SlotGrant grant, String service, long askedNanos) implements DispatchEvent {}

  /** A peer gave no answer. */
  record AskFailed(String vm, String service) implements DispatchEvent {}
}
