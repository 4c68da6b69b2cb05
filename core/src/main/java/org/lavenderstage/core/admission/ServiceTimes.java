package org.lavenderstage.core.admission;

/** Moving average of the time for which a request holds a slot. */
public final class ServiceTimes {
  private static final double STEADY_SAMPLE_WEIGHT = 1.0 / 256;
  private static final long INITIAL_MEAN_NANOS = 20_000_000;
  private static final int WARM_UP_SAMPLES = 256;

  /** Number of samples that the initial mean counts for. */
  private static final int INITIAL_MEAN_SAMPLES = 16;

  private double mean = INITIAL_MEAN_NANOS;
  private long samples;

  /** Creates an average with an assumed initial value. */
  public ServiceTimes() {}

  /**
   * Adds the service time of one request.
   *
   * @param nanos time in nanoseconds
   */
  public void add(long nanos) {
    samples++;
    double weight =
        samples < WARM_UP_SAMPLES ? 1.0 / (samples + INITIAL_MEAN_SAMPLES) : STEADY_SAMPLE_WEIGHT;
    mean += (nanos - mean) * weight;
  }

  /**
   * Returns the mean service time.
   *
   * @return the mean in nanoseconds
   */
  public double meanNanos() {
    return mean;
  }
}
