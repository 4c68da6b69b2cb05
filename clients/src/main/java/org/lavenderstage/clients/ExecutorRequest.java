package org.lavenderstage.clients;

/**
 * Request to an executor.
 *
 * @param id identifier of the request; the id that the executor must echo starts with it
 * @param workspace workspace of the caller
 * @param service service that handles the request
 * @param key idempotency key, empty for an idempotent request
 * @param contentType media type of the body
 * @param body complete body
 */
public record ExecutorRequest(
    String id, String workspace, String service, String key, String contentType, byte[] body) {}
