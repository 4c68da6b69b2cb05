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

/** Writes and reads the states of streams as MessagePack, for snapshots. */
public final class StateCodec {
  private static final ObjectMapper MAPPER =
      TaggedMapper.of(
          FoldState.class, List.of(CellState.class, ClaimsState.class, SheetState.class));

  private StateCodec() {}

  /**
   * Writes a state.
   *
   * @param state the state
   * @return its bytes
   */
  public static byte[] encode(StreamState state) {
    try {
      return MAPPER.writeValueAsBytes(state);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("no state of a known fold", e);
    }
  }

  /**
   * Reads a state.
   *
   * @param bytes the bytes
   * @return the state
   * @throws MalformedMessageException where the bytes are no state of a known fold
   */
  public static StreamState decode(byte[] bytes) throws MalformedMessageException {
    try {
      StreamState state = MAPPER.readValue(bytes, StreamState.class);
      if (state == null || state.fold() == null) {
        throw new MalformedMessageException("no state of a known fold");
      }
      return state;
    } catch (IOException | NullPointerException e) {
      throw new MalformedMessageException("no state of a stream", e);
    }
  }
}
