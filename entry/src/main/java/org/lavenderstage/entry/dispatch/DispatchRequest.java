package org.lavenderstage.entry.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lavenderstage.clients.ExecutorRequest;

/**
 * A request that may be sent to an executor.
 *
 * @param executorRequest what is sent
 * @param priority what decides when it is served
 * @param idempotent whether it may be sent more than once
 * @param deadlineNanos deadline on the monotonic clock
 * @param mayDispatch asked right before each dispatch; false gives the request up
 * @param result completes once with what came of it
 */
public record DispatchRequest(
    ExecutorRequest executorRequest,
    RequestPriority priority,
    boolean idempotent,
    long deadlineNanos,
    BooleanSupplier mayDispatch,
    CompletableFuture<DispatchResult> result) {}
