package org.lavenderstage.core.ledger.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.lavenderstage.core.ledger.RecordPosition;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.RequestClaimed;
import org.lavenderstage.core.record.RequestReleased;
import org.lavenderstage.core.record.RequestSettled;

class ClaimLedgerTest {
  private static final ClaimWindow WINDOW = new ClaimWindow(10_000, 1000, 100);
  private static final long START = 1_700_000_000_000L;

  private final ClaimLedger ledger = new ClaimLedger(WINDOW, 2);
  private long offset;

  @Test
  void firstClaimInLogOrderWinsAndOnlyItsOwnerEndsIt() {
    String key = key(0);
    assertTrue(apply(0, claim(key, "a", 1)));
    assertFalse(apply(1, claim(key, "b", 1)));
    assertFalse(apply(2, claim(key, "b", 2)));
    assertFalse(apply(3, new RequestReleased("w", key, "b", 1)));
    assertTrue(apply(4, new RequestReleased("w", key, "a", 1)));
    assertFalse(apply(5, new RequestSettled("w", key, "a", 1)));
    assertFalse(apply(6, claim(key, "b", 1)));
    assertTrue(apply(7, claim(key, "b", 2)));
  }

  @Test
  void rejectsKeyOutsideWindowByAppendTime() {
    assertFalse(apply(10_101, claim(key(0), "a", 1)));
    assertTrue(apply(10_101, claim(key(1), "a", 1)));
    assertFalse(apply(10_101, claim(key(10_101 + 1101), "a", 1)));
    assertTrue(apply(10_101, claim(key(10_101 + 1100), "a", 1)));
  }

  @Test
  void earlierAppendTimeDoesNotMoveWindowBack() {
    apply(20_000, claim(key(20_000), "a", 1));
    assertFalse(apply(5000, claim(key(5000), "a", 1)));
  }

  @Test
  void removesOldClaimsAndStillRejectsTheirKeys() {
    apply(0, claim(key(0), "a", 1));
    apply(10_201, claim(key(10_201), "a", 1));
    assertEquals(Optional.empty(), ledger.claim(new RequestKey("w", key(0))));
    assertEquals(1, ledger.size());
    assertFalse(apply(10_201, claim(key(0), "b", 1)));
  }

  @Test
  void restoredLedgerBehavesLikeOriginal() {
    apply(0, claim(key(0), "a", 1));
    apply(5000, claim(key(5000), "a", 1));
    ClaimLedger restored = new ClaimLedger(WINDOW, 2);
    restored.restore(ledger.snapshot());
    assertEquals(ledger.digest(), restored.digest());
    RecordPosition late = new RecordPosition(offset, START + 10_201);
    LedgerRecord next = claim(key(10_201), "b", 1);
    assertEquals(ledger.apply(late, next), restored.apply(late, next));
    assertEquals(ledger.size(), restored.size());
    assertEquals(ledger.digest(), restored.digest());
  }

  @Test
  void rejectsNewKeyAtClaimLimit() {
    assertTrue(apply(0, claim(key(0), "a", 1)));
    assertTrue(apply(0, claim(key(1), "a", 1)));
    assertFalse(apply(0, claim(key(2), "a", 1)));
  }

  @Test
  void acceptsOnlyCanonicalUuidsOfVersionSeven() {
    String key = key(0);
    assertEquals(Optional.of(key), KeyTime.canonical(key.toUpperCase(Locale.ROOT)));
    assertFalse(apply(0, claim(key.toUpperCase(Locale.ROOT), "a", 1)));
    assertEquals(Optional.empty(), KeyTime.canonical(UUID.randomUUID().toString()));
    assertEquals(Optional.empty(), KeyTime.canonical("1-2-7000-8000-5"));
    assertEquals(Optional.empty(), KeyTime.canonical(""));
  }

  @Test
  void digestDependsOnWindow() {
    assertNotEquals(ledger.digest(), new ClaimLedger(new ClaimWindow(1, 1, 1), 2).digest());
  }

  /**
   * An entry rejects a key before the ledger does, and the ledger rejects it before it removes its
   * claim.
   */
  @Property(seed = "1", tries = 1000)
  void keyIsRejectedBeforeItsClaimMayBeRemoved(
      @ForAll @LongRange(min = 0, max = 50_000) long keyMillis,
      @ForAll @LongRange(min = 0, max = 50_000) long latestAppendMillis,
      @ForAll @LongRange(min = -100, max = 100) long clockError) {
    boolean removed = keyMillis < WINDOW.oldestKeptMillis(latestAppendMillis);
    boolean valid = WINDOW.isValid(keyMillis, latestAppendMillis);
    boolean accepted = WINDOW.accepts(keyMillis, latestAppendMillis + clockError);
    assertFalse(removed && valid);
    assertFalse(accepted && !valid);
  }

  private static String key(long millis) {
    return new UUID(((START + millis) << 16) | 0x7000, 0x8000000000000000L).toString();
  }

  private static RequestClaimed claim(String key, String entry, int attempt) {
    return new RequestClaimed("w", key, entry, attempt);
  }

  private boolean apply(long millis, LedgerRecord record) {
    return ledger.apply(new RecordPosition(offset++, START + millis), record);
  }
}
