package org.lavenderstage.standin.fault;

import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Passes calls of a fake through its faults. */
public final class FaultGate {
  private static final int FREEZE_POLL_MILLIS = 5;
  private static final int PERCENT = 100;

  private final FaultSwitch faults;
  private final UniformRandomProvider random;

  /**
   * Makes a gate.
   *
   * @param faults the fake's faults
   * @param seed seed of the choice which answers are lost
   */
  public FaultGate(FaultSwitch faults, long seed) {
    this.faults = faults;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /**
   * Makes a call under the faults that are on.
   *
   * @param call the call
   * @param <T> type of the answer
   * @return the answer
   * @throws FakeDownException where the fake is down or the answer is lost
   */
  public <T> T pass(Supplier<T> call) {
    before();
    T answer = call.get();
    if (strikes(FaultSwitch.Kind.LOSE_ANSWERS)) {
      throw new FakeDownException("the answer is lost");
    }
    return answer;
  }

  private void before() {
    if (faults.isOn(FaultSwitch.Kind.DOWN)) {
      throw new FakeDownException("the fake is down");
    }
    pause(faults.value(FaultSwitch.Kind.SLOW));
    while (faults.isOn(FaultSwitch.Kind.FREEZE)) {
      pause(FREEZE_POLL_MILLIS);
    }
  }

  /**
   * Draws whether a fault given in percent strikes this time.
   *
   * @param kind the fault
   * @return whether it strikes
   */
  public boolean strikes(FaultSwitch.Kind kind) {
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
      throw new FakeDownException("interrupted");
    }
  }
}
