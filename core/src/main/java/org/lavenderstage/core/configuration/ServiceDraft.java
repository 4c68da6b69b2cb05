package org.lavenderstage.core.configuration;

/**
 * A service as written by the operator.
 *
 * @param name name of the service, unique in a configuration
 * @param maxConnections maximum number of connections to a worker
 * @param standby whether its workers are switched off
 */
public record ServiceDraft(String name, long maxConnections, boolean standby) {}
