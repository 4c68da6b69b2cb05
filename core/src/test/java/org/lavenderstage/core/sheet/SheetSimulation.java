package org.lavenderstage.core.sheet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.lavenderstage.core.ledger.LedgerStream;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RecordBatch;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;

/**
 * Simulates operators who publish concurrently, and compares the ledger with the model after each
 * commit.
 */
final class SheetSimulation {
  private static final String HEADER = "kind,name,rank,service,batch-class,rule";
  private static final int PARTS = 3;

  private final SheetMerge.Rule merge;
  private LedgerStream<SheetLedger> stream;
  private final SheetModel model = new SheetModel();
  private final List<Publication> publications = new ArrayList<>();
  private long offset;
  private long timeMillis;
  private long lastVersion;
  private long lastSequence;

  SheetSimulation(SheetMerge.Rule merge) {
    this.merge = merge;
    stream = new LedgerStream<>(new SheetLedger(merge));
  }

  /** Replaces the process by a new one that starts from a snapshot. */
  void restart() {
    LedgerStream<SheetLedger> restarted = new LedgerStream<>(new SheetLedger(merge));
    restarted.restore(stream.snapshot());
    require(
        restarted.stateMachine().digest().equals(stream.stateMachine().digest()),
        "the digest differs after the restart");
    stream = restarted;
  }

  /**
   * Prepares a publication that changes some rows of an earlier version; an empty value removes the
   * row.
   */
  void prepare(int lag, Map<String, String> changes) {
    int base = Math.max(0, model.version() - lag);
    TreeMap<String, String> rows = new TreeMap<>(model.rows(base));
    changes.forEach(
        (key, rank) -> {
          if (rank.isEmpty()) {
            rows.remove(key);
          } else {
            rows.put(key, key.replace(' ', ',') + "," + rank + ",,,");
          }
        });
    String id = "sheet-" + publications.size();
    publications.add(new Publication(id, base, rows, new SheetText(HEADER, rows).text()));
  }

  /** Appends one part, possibly a second time with another batch number. */
  void part(int chosen, int index) {
    if (publications.isEmpty()) {
      return;
    }
    Publication publication = publications.get(chosen % publications.size());
    String content = publication.part(index, PARTS);
    append(new SheetPart(publication.id, index, content), false);
    model.part(publication.id, index);
  }

  /** Appends a commit, possibly delayed, and possibly the same batch twice. */
  void commit(int chosen, boolean withParts, boolean repeated) {
    if (publications.isEmpty()) {
      return;
    }
    int number = chosen % publications.size();
    Publication publication = publications.get(number);
    if (withParts) {
      for (int i = 0; i < PARTS; i++) {
        part(number, i);
      }
    }
    String digest = StateDigest.sha256Hex(publication.text);
    append(
        new SheetCommitted(publication.id, PARTS, digest, publication.base, "operator"), repeated);
    Set<String> conflicts = model.commit(publication.id, PARTS, publication.base, publication.rows);
    verify(publication, conflicts);
  }

  private void append(LedgerRecord record, boolean repeated) {
    timeMillis++;
    lastSequence++;
    RecordBatch batch = RecordBatch.of("ctl", lastSequence, List.of(record));
    for (int i = 0; i < (repeated ? 2 : 1); i++) {
      stream.apply(new RecordPosition(offset++, timeMillis), batch, (at, applied, effective) -> {});
    }
  }

  private void verify(Publication publication, Set<String> conflicts) {
    SheetLedger ledger = stream.stateMachine();
    require(ledger.current().version() >= lastVersion, "the version decreased");
    lastVersion = ledger.current().version();
    require(lastVersion == model.version(), "the version in force differs from the model's");
    Map<String, String> rows =
        lastVersion == 0 ? Map.of() : SheetText.parse(ledger.current().text()).orElseThrow().rows();
    require(rows.equals(model.rows(model.version())), "the rows in force differ from the model's");
    if (!conflicts.isEmpty()
        && ledger.outcome(publication.id).orElseThrow() instanceof SheetRefusal refusal) {
      require(
          new TreeSet<>(refusal.rows()).equals(conflicts),
          "the refusal names other rows than the model");
    }
  }

  private static void require(boolean holds, String message) {
    if (!holds) {
      throw new AssertionError(message);
    }
  }

  @Override
  public String toString() {
    return "version " + lastVersion + " after " + offset + " records";
  }

  /** A publication of one operator. */
  private record Publication(String id, int base, TreeMap<String, String> rows, String text) {
    private String part(int index, int parts) {
      int length = text.length() / parts;
      return text.substring(
          index * length, index == parts - 1 ? text.length() : (index + 1) * length);
    }
  }
}
