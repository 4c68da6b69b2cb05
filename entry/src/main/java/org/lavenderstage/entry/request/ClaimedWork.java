package org.lavenderstage.entry.request;

import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.entry.dispatch.RequestPriority;

/**
 * A request that is dispatched once its claim is won.
 *
 * @param request request to the executor
 * @param priority priority in the dispatch queue
 */
public record ClaimedWork(ExecutorRequest request, RequestPriority priority) {}
