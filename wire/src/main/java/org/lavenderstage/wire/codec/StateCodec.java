package org.lavenderstage.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.lavenderstage.core.ledger.FoldState;
import org.lavenderstage.core.ledger.StreamState;
import org.lavenderstage.core.ledger.cell.CellState;
import org.lavenderstage.core.ledger.claim.ClaimsState;
import org.lavenderstage.core.sheet.SheetState;

/** Encodes and decodes the states of streams as MessagePack, for snapshots. */
public final class StateCodec {
  private static final ObjectMapper MAPPER =
      TaggedMapper.of(
          FoldState.class, List.of(CellState.class, ClaimsState.class, SheetState.class));

  private StateCodec() {}

  /**
   * Encodes a state.
   *
   * @param state state to encode
   * @return the encoded state
   */
  public static byte[] encode(StreamState state) {
    try {
      return MAPPER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("state cannot be encoded", e);
    }
  }

  /**
   * Decodes a state.
   *
   * @param bytes encoded state
   * @return the state
   * @throws MalformedMessageException if the bytes are not a state of a known kind
   */
  public static StreamState decode(byte[] bytes) throws MalformedMessageException {
    try {
      StreamState state = MAPPER.readValue(bytes, StreamState.class);
      if (state == null || state.fold() == null) {
        throw new MalformedMessageException("expected a stream state of a known kind");
      }
      return state;
    } catch (IOException | NullPointerException e) {
      throw new MalformedMessageException("expected a stream state", e);
    }
  }
}
