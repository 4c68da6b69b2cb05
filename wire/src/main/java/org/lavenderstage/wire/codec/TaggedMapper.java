package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Creates MessagePack mappers that write the type of a sealed interface's record as a kind field.
 */
final class TaggedMapper {
  private TaggedMapper() {}

  /**
   * Creates a mapper that reads an unknown kind as null, so that different versions can run
   * together.
   */
  static ObjectMapper of(Class<?> type) {
    return of(type, List.of(type.getPermittedSubclasses()));
  }

  static ObjectMapper of(Class<?> type, List<Class<?>> subtypes) {
    ObjectMapper mapper = new MessagePackMapper();
    mapper.registerModule(new Jdk8Module());
    mapper.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.disable(DeserializationFeature.FAIL_ON_INVALID_SUBTYPE);
    mapper.addMixIn(type, KindMixIn.class);
    for (Class<?> permitted : subtypes) {
      mapper.registerSubtypes(new NamedType(permitted, permitted.getSimpleName()));
    }
    return mapper;
  }

  /** Adds the kind field to the mapped type. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  private interface KindMixIn {}
}
