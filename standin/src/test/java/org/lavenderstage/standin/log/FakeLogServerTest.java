package org.lavenderstage.standin.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.http.HttpLog;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.platform.LogPage;

class FakeLogServerTest {
  private static final int RECORDS = 60;
  private static final int RECORD_BYTES = 200_000;

  @Test
  void manyLargeRecordsAreReadInPagesThatAClientAccepts() throws PlatformUnavailableException {
    try (FakeLogServer server = new FakeLogServer(0, Long.MAX_VALUE / 2, new FaultSwitch(), 1)) {
      HttpLog log = new HttpLog(server.address(), Duration.ofSeconds(30));
      for (int i = 0; i < RECORDS; i++) {
        log.append("config", new byte[RECORD_BYTES]);
      }
      int read = 0;
      while (read < RECORDS) {
        LogPage page = log.read("config", read, RECORDS, Duration.ZERO);
        read += page.records().size();
      }
      assertEquals(RECORDS, read);
    }
  }
}
