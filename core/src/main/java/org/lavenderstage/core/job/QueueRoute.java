package org.lavenderstage.core.job;

/**
 * Routes requests to a queue by host and path.
 *
 * @param host host of the requests, in lower case
 * @param pathPrefix prefix of the path of the requests
 * @param rules rules of the queue
 */
public record QueueRoute(String host, String pathPrefix, QueueRules rules) {}
