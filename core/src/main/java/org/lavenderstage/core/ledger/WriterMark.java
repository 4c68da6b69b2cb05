package org.lavenderstage.core.ledger;

/**
 * The last batch of one writer.
 *
 * @param writer incarnation of the writing process
 * @param sequence sequence number of its last batch
 * @param appendTimeMillis append time of that batch in milliseconds since 1970
 */
public record WriterMark(String writer, long sequence, long appendTimeMillis) {}
