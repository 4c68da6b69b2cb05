package org.lavenderstage.core.sheet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.SheetCommitted;
import org.lavenderstage.core.record.SheetPart;

class SheetLedgerTest {
  private static final String HEADER = "kind,name,rank,service,batch-class,rule\n";
  private static final String CLASS_A = "class,a,0,,,\n";
  private static final String SERVICE_S = "service,s,0,,,\n";
  private static final String PAIR = "pair,,,s,a,apart\n";

  private final SheetLedger ledger = new SheetLedger();
  private long offset;
  private long timeMillis;

  @Test
  void refusesCommitWithMissingPartAndDropsDelayedPart() {
    String text = HEADER + CLASS_A;
    apply(new SheetPart("one", 0, text.substring(0, 10)));
    assertFalse(commit("one", 2, text, 0));
    assertEquals("LS-7022", refusal("one").code().label());
    assertFalse(apply(new SheetPart("one", 1, text.substring(10))));
    assertEquals(0, ledger.pendingSheets());
  }

  @Test
  void refusesTextThatIsNotCanonical() {
    for (String text :
        List.of("", "kind,name\n", HEADER + "class,a,0,,,", HEADER + CLASS_A + CLASS_A)) {
      String sheet = "sheet-" + text.length();
      apply(new SheetPart(sheet, 0, text));
      assertFalse(commit(sheet, 1, text, 0));
      assertEquals("LS-7024", refusal(sheet).code().label());
    }
  }

  @Test
  void refusesCommitWithOtherDigest() {
    apply(new SheetPart("one", 0, HEADER));
    assertFalse(commit("one", 1, HEADER + CLASS_A, 0));
    assertEquals("LS-7023", refusal("one").code().label());
  }

  @Test
  void refusalNamesPairRuleWhoseServiceWasRemoved() {
    publish("base", HEADER + CLASS_A + SERVICE_S, 0);
    publish("without", HEADER + CLASS_A, 1);
    assertFalse(publish("pair", HEADER + CLASS_A + PAIR + SERVICE_S, 1));
    assertEquals("LS-7025", refusal("pair").code().label());
    assertEquals(List.of("pair s a"), refusal("pair").rows());
    assertEquals(2, ledger.current().version());
  }

  @Test
  void rowChangedAndChangedBackStillConflicts() {
    publish("base", HEADER + CLASS_A, 0);
    publish("there", HEADER + CLASS_A.replace('0', '1'), 1);
    publish("back", HEADER + CLASS_A, 2);
    assertFalse(publish("late", HEADER + CLASS_A.replace('0', '9'), 1));
    assertEquals(List.of("class a"), refusal("late").rows());
  }

  @Test
  void refusesBaseVersionThatIsNoLongerKept() {
    for (int i = 0; i <= SheetHistory.MAX_VERSIONS; i++) {
      assertTrue(publish("sheet-" + i, HEADER + "class,a," + i + ",,,\n", i));
    }
    assertFalse(publish("old", HEADER + CLASS_A, 0));
    assertEquals("LS-7021", refusal("old").code().label());
  }

  @Test
  void dropsAbandonedPartsByAppendTime() {
    apply(new SheetPart("abandoned", 0, HEADER));
    timeMillis += PendingSheets.LIFETIME_MILLIS;
    apply(new SheetPart("other", 0, HEADER));
    assertEquals(2, ledger.pendingSheets());
    timeMillis += 1;
    apply(new SheetPart("other", 1, CLASS_A));
    assertEquals(1, ledger.pendingSheets());
    assertEquals(HEADER.length() + CLASS_A.length(), ledger.pendingCharacters());
  }

  @Test
  void dropsOldestPublicationsAboveCharacterLimit() {
    String large = "x".repeat(1_000_000);
    for (int i = 0; i < 100; i++) {
      apply(new SheetPart("sheet-" + i, 0, large));
      assertTrue(ledger.pendingCharacters() <= PendingSheets.MAX_CHARACTERS);
    }
    assertEquals(PendingSheets.MAX_CHARACTERS / large.length(), ledger.pendingSheets());
  }

  @Test
  void replicasHaveSameDigestAndDigestCoversPendingParts() {
    SheetLedger replica = new SheetLedger();
    String before = ledger.digest();
    assertEquals(before, replica.digest());
    SheetPart part = new SheetPart("one", 0, HEADER + CLASS_A);
    apply(part);
    assertFalse(before.equals(ledger.digest()));
    replica.apply(new RecordPosition(0, 0), part);
    assertEquals(ledger.digest(), replica.digest());
  }

  @Test
  void refusalNamesAtMostHundredRowsAndCountsAll() {
    StringBuilder first = new StringBuilder(HEADER);
    for (int i = 100; i < 300; i++) {
      first.append("class,c-").append(i).append(",0,,,\n");
    }
    publish("base", first.toString(), 0);
    publish("first", first.toString().replace(",0,", ",1,"), 1);
    assertFalse(publish("second", first.toString().replace(",0,", ",2,"), 1));
    assertEquals(SheetRefusal.MAX_ROWS, refusal("second").rows().size());
    assertEquals(200, refusal("second").rowCount());
    assertTrue(refusal("second").toString().contains("and 100 more"));
  }

  private boolean publish(String sheet, String text, long base) {
    apply(new SheetPart(sheet, 0, text));
    return commit(sheet, 1, text, base);
  }

  private boolean commit(String sheet, int parts, String text, long base) {
    return apply(new SheetCommitted(sheet, parts, StateDigest.sha256Hex(text), base, "operator"));
  }

  private boolean apply(LedgerRecord record) {
    return ledger.apply(new RecordPosition(offset++, timeMillis), record);
  }

  private SheetRefusal refusal(String sheet) {
    Optional<SheetOutcome> outcome = ledger.outcome(sheet);
    return outcome.map(SheetRefusal.class::cast).orElseThrow();
  }
}
