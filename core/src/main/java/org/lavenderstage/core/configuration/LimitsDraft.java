package org.lavenderstage.core.configuration;

import java.util.OptionalLong;

/**
 * The limits for clients as written by the operator, each empty if it is not set.
 *
 * @param maxHeaderBytes maximum size of the headers of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutMillis time within which the headers of a request must be complete
 * @param idleTimeoutMillis time after which an idle connection is closed
 */
public record LimitsDraft(
    OptionalLong maxHeaderBytes,
    OptionalLong maxBodyBytes,
    OptionalLong headerTimeoutMillis,
    OptionalLong idleTimeoutMillis) {}
