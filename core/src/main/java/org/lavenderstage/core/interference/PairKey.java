package org.lavenderstage.core.interference;

/**
 * A service and a batch class that may disturb it.
 *
 * @param service name of the service
 * @param batchClass name of the batch class
 */
public record PairKey(String service, String batchClass) {}
