package org.lavenderstage.wire.event;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lavenderstage.wire.codec.JsonCodec;

class EventLogTest {
  @AfterEach
  void useDefaultFormat() {
    EventLog.useJson(false);
  }

  @Test
  void aLineOfPairsQuotesWhatIsNotPlain() {
    assertEquals(
        "event=LE-1001 name=entry-started front=80 cause=\"a \\\"b\\\"=c\"",
        EventLog.line(LogEvent.ENTRY_STARTED, "front", 80, "cause", "a \"b\"=c"));
  }

  @Test
  void aLineOfJsonCanBeReadBackWhateverItsValues() throws Exception {
    EventLog.useJson(true);
    for (String value :
        List.of("", "plain", "\"\\\n\t\u0001", "\u00e9\u4e2d\ud83d\ude00", "null")) {
      String line = EventLog.line(LogEvent.ENTRY_STARTED, "cause", value, "count", 7);
      assertEquals(
          Map.of("event", "LE-1001", "name", "entry-started", "cause", value, "count", "7"),
          JsonCodec.decode(line.getBytes(StandardCharsets.UTF_8), Map.class));
    }
  }
}
