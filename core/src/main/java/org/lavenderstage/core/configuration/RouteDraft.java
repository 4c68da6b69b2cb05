package org.lavenderstage.core.configuration;

/**
 * A route as written by the operator.
 *
 * @param name name of the route, unique in a configuration
 * @param host host of the requests
 * @param pathPrefix prefix of the path of the requests
 * @param service service whose workers run the jobs
 * @param priority priority of the jobs; 0 comes first
 * @param maxAttempts number of failed runs after which a task is given up
 * @param slackFactor allowance for the duration of a job, as a multiple of its longest chain
 * @param timeoutMillis time within which a call is answered, 0 if not set
 */
public record RouteDraft(
    String name,
    String host,
    String pathPrefix,
    String service,
    long priority,
    long maxAttempts,
    double slackFactor,
    long timeoutMillis) {}
