package org.lavenderstage.core.pool;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.TaskId;

/**
 * The gangs on all workers: their members work from when all of one attempt are present, and end
 * together; where one ends before, the others are broken.
 */
final class SimulatedGangs {
  /** Longest wait for the other members, in milliseconds; as the platform's workers wait. */
  private static final long ALONE_MILLIS = 3_000;

  private final Map<String, Gang> gangs = new HashMap<>();

  /** The members under one attempt. */
  static final class Gang {
    private final int size;
    private final long workMillis;
    private final Map<TaskId, Long> since = new HashMap<>();
    private final Set<TaskId> failing = new HashSet<>();
    private long workSince = -1;
    private boolean done;
    private boolean broken;

    private Gang(int size, long workMillis) {
      this.size = size;
      this.workMillis = workMillis;
    }

    /** Returns how a member ends now, empty while it goes on. */
    Optional<EndKind> endOf(TaskId member, long now) {
      if (!broken && workSince >= 0 && now >= workSince + workMillis) {
        done |= failing.isEmpty();
        if (failing.contains(member)) {
          return Optional.of(EndKind.FAILED);
        }
      }
      if (done) {
        return Optional.of(EndKind.DONE);
      }
      if (broken) {
        return Optional.of(EndKind.GANG_BROKEN);
      }
      boolean alone = workSince < 0 && now >= since.get(member) + ALONE_MILLIS;
      return alone ? Optional.of(EndKind.GANG_INCOMPLETE) : Optional.empty();
    }

    /** Takes that a member has ended. */
    void memberEnded(TaskId member, EndKind kind) {
      since.remove(member);
      broken |= kind != EndKind.DONE && !done;
    }
  }

  /** Takes a member that starts. */
  Gang join(Run run, boolean fails, long now) {
    TaskId task = run.task().id();
    String key = task.job() + "." + task.occurrence() + "." + task.step() + "/" + run.attempt();
    int size = run.task().step().tasks().size();
    long millis = run.task().step().spec().estimateMillis();
    Gang gang = gangs.computeIfAbsent(key, k -> new Gang(size, millis));
    gang.since.put(task, now);
    if (fails) {
      gang.failing.add(task);
    }
    if (gang.since.size() == gang.size && !gang.broken) {
      gang.workSince = now;
    }
    return gang;
  }
}
