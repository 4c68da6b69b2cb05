package org.lavenderstage.core.admission;

/** The measured mean time for which a request holds a slot, from the latest requests. */
public final class ServiceTimes {
  private static final double STEADY_SAMPLE_WEIGHT = 1.0 / 256;
  private static final long INITIAL_MEAN_NANOS = 20_000_000;
  private static final int WARM_UP_SAMPLES = 256;
  private static final int INITIAL_MEAN_SAMPLES = 16;

  private double mean = INITIAL_MEAN_NANOS;
  private long samples;

  /** Starts with a guess. */
  public ServiceTimes() {}

  /**
   * Takes the time of one request.
   *
   * @param nanos the time in nanoseconds
   */
  public void add(long nanos) {
    samples++;
    double weight =
        samples < WARM_UP_SAMPLES ? 1.0 / (samples + INITIAL_MEAN_SAMPLES) : STEADY_SAMPLE_WEIGHT;
    mean += (nanos - mean) * weight;
  }

  /**
   * Returns the mean.
   *
   * @return the mean in nanoseconds
   */
  public double meanNanos() {
    return mean;
  }
}
