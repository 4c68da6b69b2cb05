package org.lavenderstage.entry.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BoundedRingTest {
  private static final int SIZE = 4;

  private final BoundedRing<String> ring = new BoundedRing<>(SIZE);
  private final List<String> consumed = new ArrayList<>();

  private void offer(String... items) {
    for (String item : items) {
      assertTrue(ring.offer(item));
    }
  }

  /** Records an item, and fails if it begins with an x. */
  private void consume(String item) {
    consumed.add(item);
    if (item.startsWith("x")) {
      throw new IllegalArgumentException(item);
    }
  }

  @Test
  void itemsAreDrainedInOrderUpToMax() {
    offer("a", "b", "c");
    assertEquals(2, ring.drain(2, this::consume));
    assertEquals(1, ring.size());
    assertEquals(1, ring.drain(2, this::consume));
    assertEquals(0, ring.drain(2, this::consume));
    assertEquals(List.of("a", "b", "c"), consumed);
  }

  /** Guards against a slot that is delivered again, as null, after its consumer has failed. */
  @Test
  void itemWhoseConsumerFailsIsNotDeliveredAgain() {
    offer("a", "x1", "x2", "b");
    assertThrows(RuntimeException.class, () -> ring.drain(SIZE, this::consume));
    assertEquals(2, ring.size());
    assertThrows(RuntimeException.class, () -> ring.drain(SIZE, this::consume));
    assertEquals(1, ring.drain(SIZE, this::consume));
    assertEquals(List.of("a", "x1", "x2", "b"), consumed);
  }

  /** Guards against a ring that stays full after a consumer has failed. */
  @Test
  void itemWhoseConsumerFailsFreesItsSlot() {
    offer("x", "a", "b", "c");
    assertFalse(ring.offer("d"));
    assertThrows(RuntimeException.class, () -> ring.drain(1, this::consume));
    offer("d");
    assertEquals(SIZE, ring.drain(SIZE, this::consume));
    assertEquals(List.of("x", "a", "b", "c", "d"), consumed);
  }

  /** Guards against a log line that shows a wrapper instead of the consumer's exception. */
  @Test
  void consumerExceptionIsPropagatedUnwrapped() {
    IllegalArgumentException failure = new IllegalArgumentException("x");
    offer("a");
    RuntimeException thrown =
        assertThrows(
            RuntimeException.class,
            () ->
                ring.drain(
                    1,
                    item -> {
                      throw failure;
                    }));
    assertSame(failure, thrown);
  }
}
