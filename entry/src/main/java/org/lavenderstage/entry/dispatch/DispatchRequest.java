package org.lavenderstage.entry.dispatch;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.lavenderstage.platform.ExecutorRequest;

/**
 * A request that may be sent to an executor.
 *
 * @param request what is sent
 * @param rank rank of the workspace; a lower number is served first
 * @param share weight of the workspace among those of its rank
 * @param idempotent whether it may be sent more than once
 * @param deadlineNanos deadline on the monotonic clock
 * @param mayDispatch asked right before each dispatch; false gives the request up
 * @param result completes once with what came of it
 */
public record DispatchRequest(
    ExecutorRequest request,
    int rank,
    int share,
    boolean idempotent,
    long deadlineNanos,
    BooleanSupplier mayDispatch,
    CompletableFuture<DispatchResult> result) {}
