package org.lavenderstage.entry.request;

import org.lavenderstage.clients.ExecutorRequest;
import org.lavenderstage.entry.dispatch.RequestPriority;

/**
 * What is sent once a claim is won.
 *
 * @param request the request
 * @param order what decides when it is served
 */
public record ClaimedWork(ExecutorRequest request, RequestPriority order) {}
