package org.lavenderstage.core.ledger;

/**
 * The position of a batch of records in the log, with its append time.
 *
 * @param offset offset in the stream, from zero
 * @param appendTimeMillis time of the append by the log's clock, in milliseconds since 1970
 */
public record RecordPosition(long offset, long appendTimeMillis) {}
