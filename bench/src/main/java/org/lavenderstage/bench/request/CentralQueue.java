package org.lavenderstage.bench.request;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lavenderstage.core.routing.RoutingPolicy.AttemptOutcome;

/** The ideal baseline: one queue for all entries that knows without delay which slots are free. */
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
    dispatch();
  }

  private void dispatch() {
    int executor = leastLoaded();
    while (executor >= 0 && !queue.isEmpty()) {
      send(queue.removeFirst(), executor);
      executor = leastLoaded();
    }
  }

  private int leastLoaded() {
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
                    outcome -> deployment.hop(() -> attemptEnded(call, executor, outcome))));
  }

  private void attemptEnded(Call call, int executor, AttemptOutcome outcome) {
    inFlight[executor]--;
    if (outcome == AttemptOutcome.ANSWERED) {
      deployment.log().answered(call, deployment.loop().nowNanos());
    } else {
      queue.addFirst(call);
    }
    dispatch();
  }
}
