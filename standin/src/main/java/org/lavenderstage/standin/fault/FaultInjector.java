package org.lavenderstage.standin.fault;

import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Injects the faults that are on into the calls of a fake. */
public final class FaultInjector {
  private static final int FREEZE_POLL_MILLIS = 5;
  private static final int PERCENT = 100;

  private final FaultSwitch faults;
  private final UniformRandomProvider random;

  /**
   * Creates a fault injector.
   *
   * @param faults faults of the fake
   * @param seed seed that selects the calls into which faults are injected
   */
  public FaultInjector(FaultSwitch faults, long seed) {
    this.faults = faults;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Runs a call with the faults that are on.
   *
   * @param call the call
   * @param <T> type of the result
   * @return the result of the call
   * @throws InjectedFaultException where the fake is down or the reply is lost
   */
  public <T> T pass(Supplier<T> call) {
    applyFaultsBeforeCall();
    T result = call.get();
    if (shouldInject(FaultSwitch.Kind.LOSE_ANSWERS)) {
      throw new InjectedFaultException("injected fault: the reply is lost");
    }
    return result;
  }

  private void applyFaultsBeforeCall() {
    if (faults.isOn(FaultSwitch.Kind.DOWN)) {
      throw new InjectedFaultException("injected fault: the fake is down");
    }
    pause(faults.value(FaultSwitch.Kind.SLOW));
    while (faults.isOn(FaultSwitch.Kind.FREEZE)) {
      pause(FREEZE_POLL_MILLIS);
    }
  }

  /**
   * Decides at random whether to inject a fault whose value is a percentage.
   *
   * @param kind the fault
   * @return whether the fault applies to this call
   */
  public boolean shouldInject(FaultSwitch.Kind kind) {
    int percent = faults.value(kind);
    synchronized (random) {
      return percent > 0 && random.nextInt(PERCENT) < percent;
    }
  }

  private static void pause(int millis) {
    if (millis <= 0) {
      return;
    }
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InjectedFaultException("interrupted");
    }
  }
}
