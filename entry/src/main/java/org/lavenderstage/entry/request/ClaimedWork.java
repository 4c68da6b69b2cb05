package org.lavenderstage.entry.request;

import org.lavenderstage.platform.ExecutorRequest;

/**
 * What is sent once a claim is won.
 *
 * @param request the request
 * @param rank rank of the service; a lower number is served first
 */
public record ClaimedWork(ExecutorRequest request, int rank) {}
