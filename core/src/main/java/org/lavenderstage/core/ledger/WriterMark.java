package org.lavenderstage.core.ledger;

/**
 * The last batch of one writer.
 *
 * @param writer incarnation of the process that appends
 * @param sequence number of its last batch
 * @param appendTimeMillis append time of that batch
 */
public record WriterMark(String writer, long sequence, long appendTimeMillis) {}
