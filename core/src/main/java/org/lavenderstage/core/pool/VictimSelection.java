package org.lavenderstage.core.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import org.lavenderstage.core.job.Job;
import org.lavenderstage.core.job.Run;
import org.lavenderstage.core.job.StepSpec;
import org.lavenderstage.core.job.Task;
import org.lavenderstage.core.placement.Resources;

/**
 * Decides which runs are stopped so that the waiting tasks of a step fit on workers, if any. The
 * tasks that find free capacity in time by themselves wait for it. For the others it chooses the
 * runs whose stop costs callers least, and stops them only if the caller of the waiting tasks gains
 * more. Each selection counts capacity that becomes free for one task only.
 */
final class VictimSelection {
  /** Time in milliseconds that stands for a wait without a known end. */
  static final long UNKNOWN_WAIT_MILLIS = Long.MAX_VALUE / 4;

  private final Function<Job, JobOutlook> outlooks;
  private final Predicate<Run> mayStop;
  private final Map<Worker, Resources> claims = new HashMap<>();
  private final List<Run> ending = new ArrayList<>();
  private final List<Run> victims = new ArrayList<>();
  private long nowMillis;

  /**
   * The decision about a step.
   *
   * @param victims runs to stop, empty if none are worth it
   * @param gain expected value that the caller of the waiting tasks gains by the stops
   * @param cost expected value that the callers of the victims lose
   * @param waitMillis time until the last task fits without a stop, in milliseconds
   */
  record Choice(List<Run> victims, double gain, double cost, long waitMillis) {}

  /** Capacity for a task that becomes free by itself after a time in milliseconds. */
  private record Vacancy(Worker worker, long waitMillis) {}

  /** Runs of one worker that make a task fit there, and what callers lose if they are stopped. */
  private record VictimSet(Worker worker, List<Run> runs, double cost) {}

  /**
   * Creates a selection in which nothing is claimed.
   *
   * @param outlooks returns the outlook of a job
   * @param mayStop returns whether a run may be stopped at all
   */
  VictimSelection(Function<Job, JobOutlook> outlooks, Predicate<Run> mayStop) {
    this.outlooks = outlooks;
    this.mayStop = mayStop;
  }

  /**
   * Decides about the waiting tasks of a step.
   *
   * @param task one of the tasks
   * @param count number of the tasks
   * @param minGainToCost what the caller has to gain at least, as a multiple of what others lose
   * @param workers the workers on which the task is allowed
   * @param now monotonic time in milliseconds
   */
  Choice choose(Task task, int count, double minGainToCost, List<Worker> workers, long now) {
    nowMillis = now;
    JobOutlook outlook = outlooks.apply(task.step().job());
    long acceptedWaitMillis = Math.max(StopCost.STOP_MILLIS, outlook.delayWithoutLossMillis());
    List<Vacancy> vacancies = vacancies(task, count, workers);
    int inTime = 0;
    while (inTime < Math.min(count, vacancies.size())
        && vacancies.get(inTime).waitMillis <= acceptedWaitMillis) {
      inTime++;
    }
    vacancies.subList(0, inTime).forEach(vacancy -> claim(vacancy.worker, task));
    long waitMillis = waitMillis(vacancies, count);
    if (inTime == count) {
      return new Choice(List.of(), 0, 0, waitMillis);
    }
    List<VictimSet> sets = new ArrayList<>();
    workers.forEach(worker -> addVictimSet(worker, task, sets));
    sets.sort(Comparator.comparingDouble(VictimSet::cost));
    List<VictimSet> chosen = sets.subList(0, Math.min(count - inTime, sets.size()));
    Set<Worker> affected = new HashSet<>();
    chosen.forEach(set -> affected.add(set.worker));
    List<Vacancy> unaffected = new ArrayList<>(vacancies.subList(0, inTime));
    for (Vacancy vacancy : vacancies.subList(inTime, vacancies.size())) {
      if (!affected.contains(vacancy.worker)) {
        unaffected.add(vacancy);
      }
    }
    long waitWithStops =
        Math.max(acceptedWaitMillis, waitMillis(unaffected, count - chosen.size()));
    double gain = outlook.valueAfterDelay(waitWithStops) - outlook.valueAfterDelay(waitMillis);
    double cost = chosen.stream().mapToDouble(VictimSet::cost).sum();
    if (gain <= minGainToCost * cost) {
      return new Choice(List.of(), gain, cost, waitMillis);
    }
    chosen.forEach(set -> claim(set.worker, task));
    return new Choice(
        chosen.stream().flatMap(set -> set.runs.stream()).toList(), gain, cost, waitMillis);
  }

  /**
   * Returns the time until a number of tasks have found capacity. Where there are fewer vacancies
   * by the present runs, capacity is assumed to become free at the same rate after them.
   */
  private static long waitMillis(List<Vacancy> vacancies, int count) {
    int known = vacancies.size();
    if (count == 0) {
      return 0;
    }
    if (known == 0) {
      return UNKNOWN_WAIT_MILLIS;
    }
    return count <= known
        ? vacancies.get(count - 1).waitMillis
        : vacancies.get(known - 1).waitMillis * count / known;
  }

  private void claim(Worker worker, Task task) {
    claims.merge(worker, Worker.demand(task.step().spec()), Resources::plus);
  }

  private Resources unclaimed(Worker worker) {
    Resources claimed = claims.get(worker);
    return claimed == null ? worker.free() : worker.free().minus(claimed);
  }

  /** Returns the vacancies, the shortest wait first. */
  private List<Vacancy> vacancies(Task task, int count, List<Worker> workers) {
    List<Vacancy> vacancies = new ArrayList<>();
    for (Worker worker : workers) {
      if (task.step().spec().filling()) {
        addReplacements(worker, task, vacancies);
      } else {
        addVacancies(worker, task, count, vacancies);
      }
    }
    vacancies.sort(Comparator.comparingLong(Vacancy::waitMillis));
    return vacancies;
  }

  private void addVacancies(Worker worker, Task task, int count, List<Vacancy> vacancies) {
    if (!findEnding(worker, task)) {
      return;
    }
    ending.sort(Comparator.comparingLong(run -> StopCost.remainingMillis(run, nowMillis)));
    StepSpec spec = task.step().spec();
    Resources demand = Worker.demand(spec);
    Resources available = unclaimed(worker);
    int remaining = spec.maxPerWorker() > 0 ? 1 : count;
    for (Run run : ending) {
      available = available.plus(demand(run));
      while (remaining > 0 && demand.fitsIn(available)) {
        vacancies.add(new Vacancy(worker, StopCost.remainingMillis(run, nowMillis)));
        available = available.minus(demand);
        remaining--;
      }
    }
  }

  /**
   * Finds the runs of a worker that end by themselves.
   *
   * @return whether a task fits once they have ended; false if it fits already, since something
   *     else keeps the task off the worker then
   */
  private boolean findEnding(Worker worker, Task task) {
    Resources demand = Worker.demand(task.step().spec());
    if (demand.fitsIn(worker.free())) {
      return false;
    }
    Resources available = unclaimed(worker);
    ending.clear();
    for (List<Run> runsOfTask : worker.runsByTask()) {
      for (Run run : runsOfTask) {
        if (!run.task().step().spec().lasting()) {
          ending.add(run);
          available = available.plus(demand(run));
        }
      }
    }
    return demand.fitsIn(available);
  }

  private void addReplacements(Worker worker, Task task, List<Vacancy> vacancies) {
    findReplaceable(worker, task);
    for (Run run : ending) {
      vacancies.add(new Vacancy(worker, StopCost.remainingMillis(run, nowMillis)));
    }
  }

  /**
   * Finds the best-effort runs of the same image that need at least as much as a task. Beside the
   * memory, best-effort tasks share what serving tasks leave, of which the task can use the part of
   * such a run.
   */
  private void findReplaceable(Worker worker, Task task) {
    ending.clear();
    if (claims.containsKey(worker)) {
      return;
    }
    StepSpec spec = task.step().spec();
    for (List<Run> runsOfTask : worker.runsByTask()) {
      for (Run run : runsOfTask) {
        StepSpec other = run.task().step().spec();
        boolean replaceable =
            other.filling()
                && other.image().equals(spec.image())
                && spec.cpuMillis() <= other.cpuMillis()
                && Worker.demand(spec).fitsIn(worker.free().plus(demand(run)));
        if (replaceable) {
          ending.add(run);
        }
      }
    }
  }

  private void addVictimSet(Worker worker, Task task, List<VictimSet> sets) {
    victims.clear();
    if (task.step().spec().filling()) {
      findReplaceable(worker, task);
      ending.stream()
          .filter(mayStop)
          .map(run -> new VictimSet(worker, List.of(run), cost(run, task)))
          .min(Comparator.comparingDouble(VictimSet::cost))
          .ifPresent(sets::add);
    } else if (findEnding(worker, task) && chooseVictims(worker, task)) {
      List<Run> runs = List.copyOf(victims);
      victims.clear();
      double cost = 0;
      for (Run run : runs) {
        cost += cost(run, task);
        victims.add(run);
      }
      sets.add(new VictimSet(worker, runs, cost));
    }
  }

  /**
   * Chooses victims one by one by their cost for what they free, and drops those that are needless
   * beside later ones.
   *
   * @return whether the task fits without the victims
   */
  private boolean chooseVictims(Worker worker, Task task) {
    Resources demand = Worker.demand(task.step().spec());
    Resources available = unclaimed(worker);
    ending.removeIf(run -> !mayStop.test(run));
    while (!demand.fitsIn(available)) {
      Run best = null;
      double lowest = Double.MAX_VALUE;
      for (Run run : ending) {
        double freed = freedFraction(demand, available, demand(run));
        double costOfFreed = freed == 0 ? Double.MAX_VALUE : cost(run, task) / freed;
        if (costOfFreed < lowest) {
          lowest = costOfFreed;
          best = run;
        }
      }
      if (best == null) {
        return false;
      }
      ending.remove(best);
      victims.add(best);
      available = available.plus(demand(best));
    }
    for (int i = victims.size() - 1; i >= 0; i--) {
      Resources without = available.minus(demand(victims.get(i)));
      if (demand.fitsIn(without)) {
        victims.remove(i);
        available = without;
      }
    }
    return true;
  }

  /** Returns which fractions of the lacking processors and memory a run frees, in total 0 to 2. */
  private static double freedFraction(Resources demand, Resources available, Resources run) {
    return fraction(demand.cpuMillis() - available.cpuMillis(), run.cpuMillis())
        + fraction(demand.memoryMb() - available.memoryMb(), run.memoryMb());
  }

  private static double fraction(int lacking, int freed) {
    return lacking <= 0 ? 0 : Math.min(1.0, (double) freed / lacking);
  }

  /**
   * Returns what callers lose if a run is stopped beside the victims chosen so far. Its job is
   * delayed once, however many of its runs are stopped.
   */
  private double cost(Run run, Task task) {
    Job job = run.task().step().job();
    JobOutlook outlook = outlooks.apply(job);
    double cost = StopCost.repeatedWork(run, outlook, nowMillis);
    for (Run victim : victims) {
      if (victim.task().step().job() == job) {
        return cost;
      }
    }
    long occupiedMillis = task.step().spec().estimateMillis();
    return cost + StopCost.delay(run, outlook, occupiedMillis, nowMillis);
  }

  private static Resources demand(Run run) {
    return Worker.demand(run.task().step().spec());
  }
}
