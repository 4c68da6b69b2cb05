package org.lavenderstage.entry.request;

import org.lavenderstage.platform.ExecutorRequest;

/**
 * What is sent once a claim is won.
 *
 * @param request the request
 * @param rank rank of the workspace; a lower number is served first
 * @param share weight of the workspace among those of its rank
 */
public record ClaimedWork(ExecutorRequest request, int rank, int share) {}
