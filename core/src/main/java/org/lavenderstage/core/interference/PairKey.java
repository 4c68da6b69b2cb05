package org.lavenderstage.core.interference;

/**
 * Identifies a pair of a service and a batch class that may interfere with it.
 *
 * @param service the name of the service
 * @param batchClass the name of the batch class
 */
public record PairKey(String service, String batchClass) {}
