package org.lavenderstage.core.ledger;

/**
 * Where and when the log took a record.
 *
 * @param offset place in the stream, from zero
 * @param appendTimeMillis the log's time of the append in milliseconds since 1970
 */
public record RecordPosition(long offset, long appendTimeMillis) {}
