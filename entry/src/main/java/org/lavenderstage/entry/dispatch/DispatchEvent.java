package org.lavenderstage.entry.dispatch;

import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.ExecutorResult;
import org.lavenderstage.core.admission.PlacedRequest;
import org.lavenderstage.wire.peer.SlotAsk;
import org.lavenderstage.wire.peer.SlotGrant;
import org.lavenderstage.wire.peer.SlotReturn;
import org.lavenderstage.wire.peer.SlotState;

/** Events for the dispatcher thread. */
sealed interface DispatchEvent {
  /** A request arrived. */
  record Submitted(TrackedRequest trackedRequest) implements DispatchEvent {}

  /** An executor's result arrived. */
  record AttemptFinished(PlacedRequest<TrackedRequest> placed, ExecutorResult result)
      implements DispatchEvent {}

  /** A peer announced how it divides the slots. */
  record PeerState(SlotState state) implements DispatchEvent {}

  /** A peer requested a loan of slots; the grant is valid only if it completes the reply. */
  record LoanRequested(SlotAsk loanRequest, CompletableFuture<SlotGrant> reply)
      implements DispatchEvent {}

  /** A peer returned slots. */
  record SlotsReturned(SlotReturn returned) implements DispatchEvent {}

  /** A peer lent slots. */
  record LoanGranted(SlotGrant grant, String service, long requestedNanos)
      implements DispatchEvent {}

  /** A peer did not answer a loan request. */
  record LoanRequestFailed(String vm, String service) implements DispatchEvent {}
}
