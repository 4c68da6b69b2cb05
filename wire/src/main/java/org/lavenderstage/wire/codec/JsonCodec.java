package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;

/** Writes and reads schema messages as JSON, for the platform, callers and operators. */
public final class JsonCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private JsonCodec() {}

  /**
   * Writes a message.
   *
   * @param message the message
   * @return its JSON in UTF-8
   */
  public static byte[] encode(Object message) {
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no schema message: " + message.getClass(), e);
    }
  }

  /**
   * Reads a message.
   *
   * @param bytes JSON in UTF-8
   * @param type the message's type
   * @param <T> the message's type
   * @return the message
   * @throws MalformedMessageException where the bytes are no such message
   */
  public static <T> T decode(byte[] bytes, Class<T> type) throws MalformedMessageException {
    try {
      T message = MAPPER.readValue(bytes, type);
      if (message == null) {
        throw new MalformedMessageException("null is no " + type.getSimpleName());
      }
      return message;
    } catch (IOException e) {
      throw new MalformedMessageException("no " + type.getSimpleName(), e);
    }
  }
}
