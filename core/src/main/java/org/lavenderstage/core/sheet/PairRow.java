package org.lavenderstage.core.sheet;

/**
 * A rule for a service and a batch class on one worker.
 *
 * @param service name of the service
 * @param batchClass name of the batch class
 * @param rule what the rule says
 */
public record PairRow(String service, String batchClass, Rule rule) {
  /** What a pair rule says. */
  public enum Rule {
    /** They may share a worker. */
    ALLOW,
    /** The batch class is throttled beside the service. */
    THROTTLE,
    /** They never share a worker. */
    APART
  }
}
