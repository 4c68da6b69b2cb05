package org.lavenderstage.http;

/**
 * Limits of the requests to a server.
 *
 * @param maxHeaderBytes longest header; a longer one is answered with status 400
 * @param maxBodyBytes longest body; a longer one is answered with status 413
 * @param headerTimeoutMillis time within which a header must arrive after its first byte, else the
 *     request is answered with status 408
 * @param idleTimeoutMillis time after which an idle connection is closed, and within which a whole
 *     request must arrive after its first byte
 */
public record ServerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
