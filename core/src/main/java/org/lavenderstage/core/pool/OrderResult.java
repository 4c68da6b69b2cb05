package org.lavenderstage.core.pool;

/** The result of an order to a worker. */
public sealed interface OrderResult {
  /**
   * The worker carried the order out.
   *
   * @param clockMillis time on the worker's monotonic clock in milliseconds
   */
  record Accepted(long clockMillis) implements OrderResult {}

  /**
   * The worker rejected the order and did not carry it out.
   *
   * @param reason why the order was rejected
   */
  record Rejected(Rejection reason) implements OrderResult {}

  /**
   * The order was not answered; it may have been carried out, or may still be.
   *
   * @param cause the failure of the call
   */
  record Unanswered(String cause) implements OrderResult {}

  /**
   * The worker answered a poll with a report.
   *
   * @param report the report
   */
  record Reported(WorkerReport report) implements OrderResult {}
}
