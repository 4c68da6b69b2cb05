package org.lavenderstage.core.routing;

/**
 * An executor of a service.
 *
 * @param id identifier of the executor's VM
 * @param address host and port of the executor
 * @param domain failure domain of the executor
 * @param service name of the service
 */
public record ExecutorInfo(String id, String address, String domain, String service) {}
