package org.lavenderstage.clients;

import java.util.Optional;

/**
 * Record of a keyed topic.
 *
 * @param key key of the record
 * @param value value of the record, empty if the record removes the key
 */
public record KeyedRecord(String key, Optional<byte[]> value) {}
