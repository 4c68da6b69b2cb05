package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/** Builds MessagePack mappers that tell the records of a sealed interface apart by a kind field. */
final class TaggedMapper {
  private TaggedMapper() {}

  /** Reads an unknown kind as null, so that versions can be mixed. */
  static ObjectMapper of(Class<?> sealedInterface) {
    ObjectMapper mapper = new MessagePackMapper();
    mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    mapper.disable(DeserializationFeature.FAIL_ON_INVALID_SUBTYPE);
    mapper.addMixIn(sealedInterface, KindMixIn.class);
    for (Class<?> permitted : sealedInterface.getPermittedSubclasses()) {
      mapper.registerSubtypes(new NamedType(permitted, permitted.getSimpleName()));
    }
    return mapper;
  }

  /** Adds the kind field. */
  @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
  private interface KindMixIn {}
}
