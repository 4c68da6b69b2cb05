package org.lavenderstage.bench.size;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.SheetLedger;
import org.lavenderstage.core.sheet.SheetText;
import org.lavenderstage.wire.csv.SheetReader;

/** Measures the time that checking, publishing and applying a sheet of 20,000 rows takes. */
final class SheetCost {
  private static final int ROWS = 20_000;
  private static final int WORKSPACES = 400;
  private static final int ROUNDS = 15;
  private static final int PART_CHARACTERS = 200_000;
  private static final double NANOS_PER_MILLI = 1e6;

  private SheetCost() {}

  static void print(PrintStream out) {
    String csv = csv(0);
    Sheet sheet = SheetReader.read(csv).sheet().orElseThrow();
    String canonical = SheetText.of(sheet).text();
    out.printf(Locale.ROOT, "sheet rows=%d canonical_bytes=%d%n", sheet.size(), canonical.length());
    time(out, "check", round -> SheetReader.read(csv).sheet().orElseThrow().size());
    time(out, "canonical text", round -> SheetText.of(sheet).text().length());
    time(out, "fold first", round -> publish(new SheetLedger(), "first", canonical, 0));
    SheetLedger ledger = new SheetLedger();
    long unused = publish(ledger, "base", canonical, 0);
    List<String> changes = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      changes.add(SheetText.of(SheetReader.read(csv(round)).sheet().orElseThrow()).text());
    }
    time(out, "fold merge", round -> publish(ledger, "c-" + round, changes.get(round), 1));
    out.printf(Locale.ROOT, "versions after the merges: %d%n", ledger.current().version());
  }

  private static long publish(SheetLedger ledger, String id, String text, long base) {
    List<SheetPart> parts = new ArrayList<>();
    for (int from = 0; from < text.length(); from += PART_CHARACTERS) {
      int to = Math.min(text.length(), from + PART_CHARACTERS);
      parts.add(new SheetPart(id, parts.size(), text.substring(from, to)));
    }
    parts.forEach(part -> ledger.apply(new RecordPosition(0, 0), part));
    String digest = StateDigest.sha256Hex(text);
    ledger.apply(
        new RecordPosition(0, 0), new SheetCommitted(id, parts.size(), digest, base, "operator"));
    return ledger.current().version();
  }

  /** A measured step. Returns a number so that the JIT compiler does not eliminate its work. */
  private interface Step {
    long run(int round);
  }

  private static void time(PrintStream out, String name, Step step) {
    List<Long> nanos = new ArrayList<>();
    long result = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long start = System.nanoTime();
      result += step.run(round);
      nanos.add(System.nanoTime() - start);
    }
    nanos.sort(Long::compare);
    out.printf(
        Locale.ROOT,
        "sheet %-15s median_ms=%.1f first_or_worst_ms=%.1f (%d rounds, sum %d)%n",
        name,
        nanos.get(ROUNDS / 2) / NANOS_PER_MILLI,
        nanos.get(ROUNDS - 1) / NANOS_PER_MILLI,
        ROUNDS,
        result);
  }

  /**
   * Creates a sheet of mostly pair rules where the first {@code changed} workspaces have the share
   * 2.
   */
  private static String csv(int changed) {
    StringBuilder text =
        new StringBuilder(
            "kind,name,rank,share,quota-cpu-millis,quota-memory-mb,quota-accelerators,"
                + "token-sha256,idempotent,timeout-millis,service,batch-class,rule\n");
    String token = StateDigest.sha256Hex("token");
    for (int i = 0; i < WORKSPACES; i++) {
      int share = i < changed ? 2 : 1;
      text.append("workspace,team-" + i + ",0," + share + ",400000,1600000,8," + token + ",,,,,\n");
    }
    int each = (ROWS - WORKSPACES) / 4;
    for (int i = 0; i < each; i++) {
      text.append("service,service-" + i + ",0,,,,,,yes,2000,,,\n");
      text.append("class,class-" + i + ",2,1,,,,,,,,,\n");
      text.append("pair,,,,,,,,,,service-" + i + ",class-" + i + ",throttle\n");
      text.append("pair,,,,,,,,,,service-" + i + ",class-" + (i + 1) % each + ",apart\n");
    }
    return text.toString();
  }
}
