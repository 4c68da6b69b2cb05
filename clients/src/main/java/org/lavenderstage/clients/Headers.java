package org.lavenderstage.clients;

/** Names of the HTTP headers of callers and executors, in lower case as HTTP/2 requires. */
public final class Headers {
  /** Idempotency key of a request. */
  public static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Deadline of a request in milliseconds from its arrival. */
  public static final String TIMEOUT_MILLIS = "request-timeout-ms";

  /**
   * Marks a scheduled retry: a caller retries at the time given by Retry-After. Any value counts.
   */
  public static final String RETURNING = "lavenderstage-returning";

  /** Outcome of a request: what the caller may rely on. */
  public static final String OUTCOME = "lavenderstage-outcome";

  /** Result code of a response. */
  public static final String CODE = "lavenderstage-code";

  /** Identifier of a call to an executor, which the response must echo. */
  public static final String REQUEST_ID = "lavenderstage-request-id";

  /** Workspace of a request. */
  public static final String WORKSPACE = "lavenderstage-workspace";

  /** Service of a request. */
  public static final String SERVICE = "lavenderstage-service";

  private Headers() {}
}
