package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Encodes and decodes messages for the platform, callers and operators as JSON. */
public final class JsonCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private JsonCodec() {}

  /**
   * Encodes a message.
   *
   * @param message message to encode
   * @return JSON in UTF-8
   */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("message cannot be encoded: " + message.getClass(), e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes JSON in UTF-8
   * @param type class of the message
   * @param <T> type of the message
   * @return the message
   * @throws MalformedMessageException if the bytes are not a message of this type
   */
  public static <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
    try {
      T message = MAPPER.readValue(bytes, type);
      if (message == null) {
        throw new MalformedMessageException("expected " + type.getSimpleName() + ", found null");
      }
      return message;
    } catch (IOException e) {
      throw new MalformedMessageException("expected " + type.getSimpleName(), e);
    }
  }
}
