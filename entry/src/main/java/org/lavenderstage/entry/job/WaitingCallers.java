package org.lavenderstage.entry.job;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.JobAnswer;
import org.lavenderstage.core.job.JobPhase;

/** The callers that wait until a phase of a job is stored. Used only by the owner's thread. */
final class WaitingCallers {
  private final Map<Job, List<Caller>> callersByJob = new HashMap<>();

  /** A caller, and the phase of the job that it waits for. */
  private record Caller(JobCall call, JobPhase phase, CompletableFuture<JobAnswer> answer) {}

  void add(Job job, JobCall call, JobPhase phase, CompletableFuture<JobAnswer> answer) {
    callersByJob
        .computeIfAbsent(job, key -> new ArrayList<>(1))
        .add(new Caller(call, phase, answer));
  }

  /** Answers the callers that waited for what is stored now of the given jobs. */
  void answerStored(Collection<Job> jobs) {
    for (Job job : jobs) {
      List<Caller> callers = callersByJob.get(job);
      if (callers != null) {
        callers.removeIf(caller -> answerIfStored(job, caller));
        if (callers.isEmpty()) {
          callersByJob.remove(job);
        }
      }
    }
  }

  private static boolean answerIfStored(Job job, Caller caller) {
    if (caller.phase() == JobPhase.ACTIVE) {
      return caller.answer().complete(new JobAnswer.Accepted());
    }
    if (job.storedPhase() != JobPhase.ACTIVE) {
      return caller.answer().complete(new JobAnswer.Cancelled());
    }
    return false;
  }

  /** Gives all callers of a job the same answer. */
  void answer(Job job, JobAnswer answer) {
    List<Caller> callers = callersByJob.remove(job);
    if (callers != null) {
      callers.forEach(caller -> caller.answer().complete(answer));
    }
  }

  /** Gives all callers the same answer. */
  void answerAll(JobAnswer answer) {
    callersByJob
        .values()
        .forEach(callers -> callers.forEach(caller -> caller.answer().complete(answer)));
    callersByJob.clear();
  }

  /**
   * Answers the callers whose time is over.
   *
   * @param answer the answer
   * @param nowMillis monotonic time in milliseconds
   */
  void answerExpired(JobAnswer answer, long nowMillis) {
    Iterator<List<Caller>> lists = callersByJob.values().iterator();
    while (lists.hasNext()) {
      List<Caller> callers = lists.next();
      callers.removeIf(
          caller ->
              nowMillis >= caller.call().answerByMillis() && caller.answer().complete(answer));
      if (callers.isEmpty()) {
        lists.remove();
      }
    }
  }
}
