package org.lavenderstage.bench.size;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.AttemptExtended;
import org.lavenderstage.core.record.CellRenewed;
import org.lavenderstage.core.record.EndReason;
import org.lavenderstage.core.record.JobAccepted;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestSettled;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.LedgerCodec;
import org.lavenderstage.wire.codec.PeerCodec;
import org.lavenderstage.wire.peer.Heartbeat;
import org.lavenderstage.wire.peer.PeerMessage;
import org.lavenderstage.wire.platform.RenewTask;

/** Prints the encoded sizes of records whose identifiers have typical lengths. */
final class RecordSizes {
  private static final int BATCH = 500;
  private static final long TIME_MILLIS = 1_800_000_000_000L;
  private static final String ENTRY = "entry-12-" + new UUID(1, 2);
  private static final String ID = new UUID(3, 4).toString();
  private static final String CELL = "region-a-domain-3";

  private RecordSizes() {}

  static void print(PrintStream out) {
    records(
        out,
        new JobAccepted(
            ID, "workspace-17", "class-night", 1000, 2048, 0, 60_000, false, "x".repeat(100)),
        new TaskPlaced(ID, 1, "worker-12345", CELL, 17, TIME_MILLIS),
        new AttemptExtended(ID, 1, CELL, 17, TIME_MILLIS),
        new AttemptEnded(ID, 1, CELL, 17, EndReason.DONE, ""),
        new CellRenewed(CELL, ENTRY, 17, 5000),
        new RequestClaimed("workspace-17", ID, ENTRY, 1),
        new RequestSettled("workspace-17", ID, ENTRY, 1));
    String digest = StateDigest.sha256Hex("");
    Heartbeat heartbeat =
        new Heartbeat(
            ENTRY, "entry-12", CELL, "10.123.123.123:8082", 100_000, 9000, 90_000, digest, false);
    out.printf(Locale.ROOT, "%-16s %5d bytes a frame%n", "Heartbeat", frameBytes(heartbeat));
    int renew = JsonCodec.encode(new RenewTask(ID, 1, 17, TIME_MILLIS, 10_000)).length;
    out.printf(Locale.ROOT, "%-16s %5d bytes of JSON%n", "RenewTask", renew);
  }

  private static void records(PrintStream out, LedgerRecord... records) {
    for (LedgerRecord record : records) {
      int one = LedgerCodec.encode(RecordBatch.of(ENTRY, 1, List.of(record))).length;
      int many =
          LedgerCodec.encode(RecordBatch.of(ENTRY, 1, Collections.nCopies(BATCH, record))).length;
      out.printf(
          Locale.ROOT,
          "%-16s %5d bytes alone, %6.1f bytes each in a batch of %d%n",
          record.getClass().getSimpleName(),
          one,
          (double) many / BATCH,
          BATCH);
    }
  }

  private static int frameBytes(PeerMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PeerCodec.write(new DataOutputStream(bytes), message);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.size();
  }
}
