package org.lavenderstage.entry.request;

import org.lavenderstage.entry.dispatch.RequestOrder;
import org.lavenderstage.platform.ExecutorRequest;

/**
 * What is sent once a claim is won.
 *
 * @param request the request
 * @param order what decides when it is served
 */
public record ClaimedWork(ExecutorRequest request, RequestOrder order) {}
