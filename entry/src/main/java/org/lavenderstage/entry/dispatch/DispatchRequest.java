package org.lavenderstage.entry.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lavenderstage.clients.ExecutorRequest;

/**
 * A request to be sent to an executor.
 *
 * @param executorRequest the request as it is sent
 * @param priority values that determine when the request is served
 * @param idempotent whether the request may be sent again if it may have run
 * @param deadlineNanos deadline on the monotonic clock, in nanoseconds
 * @param mayDispatch checked right before each attempt; if it returns false, the request is refused
 * @param result completes once, with the result of the request
 */
public record DispatchRequest(
    ExecutorRequest executorRequest,
    RequestPriority priority,
    boolean idempotent,
    long deadlineNanos,
    BooleanSupplier mayDispatch,
    CompletableFuture<DispatchResult> result) {}
