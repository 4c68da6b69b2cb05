package org.lavenderstage.core.sheet;

/**
 * A rule for running a service and a batch class on the same worker.
 *
 * @param service name of the service
 * @param batchClass name of the batch class
 * @param rule the rule
 */
public record PairRow(String service, String batchClass, Rule rule) {
  /** Kinds of pair rules. */
  public enum Rule {
    /** They may share a worker. */
    ALLOW,
    /** They may share a worker, where the batch class is throttled. */
    THROTTLE,
    /** They never share a worker. */
    APART
  }
}
