package org.lavenderstage.bench.request;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lavenderstage.core.routing.RoutingPolicy.AttemptOutcome;

/** The ideal: one queue for all entries that knows at once which slot is free. */
final class CentralQueue {
  private final Deployment deployment;
  private final Deque<Call> queue = new ArrayDeque<>();
  private final int[] inFlight;

  CentralQueue(Deployment deployment, int executors) {
    this.deployment = deployment;
    this.inFlight = new int[executors];
  }

  void submit(Call call) {
    queue.addLast(call);
    pump();
  }

  private void pump() {
    int executor = freest();
    while (executor >= 0 && !queue.isEmpty()) {
      send(queue.removeFirst(), executor);
      executor = freest();
    }
  }

  private int freest() {
    int best = -1;
    for (int i = 0; i < inFlight.length; i++) {
      boolean usable =
          inFlight[i] < FakeEntry.SLOTS && deployment.executor(i).isHealthy() && !isLeaving(i);
      if (usable && (best < 0 || inFlight[i] < inFlight[best])) {
        best = i;
      }
    }
    return best;
  }

  private boolean isLeaving(int executor) {
    return deployment.isLeaving(executor);
  }

  private void send(Call call, int executor) {
    inFlight[executor]++;
    call.attempts++;
    deployment.hop(
        () ->
            deployment
                .executor(executor)
                .accept(
                    call.arrival.sizeNanos(),
                    ending -> deployment.hop(() -> ended(call, executor, ending))));
  }

  private void ended(Call call, int executor, AttemptOutcome ending) {
    inFlight[executor]--;
    if (ending == AttemptOutcome.ANSWERED) {
      deployment.log().answered(call, deployment.loop().nowNanos());
    } else {
      queue.addFirst(call);
    }
    pump();
  }
}
