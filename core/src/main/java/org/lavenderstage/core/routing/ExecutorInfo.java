package org.lavenderstage.core.routing;

/**
 * One executor of a service.
 *
 * @param id identifier of the executor's VM
 * @param address host and port
 * @param domain failure domain
 * @param service service that it serves
 */
public record ExecutorInfo(String id, String address, String domain, String service) {}
