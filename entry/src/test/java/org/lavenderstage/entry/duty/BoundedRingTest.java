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
  private final List<String> taken = new ArrayList<>();

  private void offer(String... items) {
    for (String item : items) {
      assertTrue(ring.offer(item));
    }
  }

  /** Takes an item, and fails for each that begins with an x. */
  private void take(String item) {
    taken.add(item);
    if (item.startsWith("x")) {
      throw new IllegalArgumentException(item);
    }
  }

  @Test
  void itemsAreTakenInTheirOrderAndNoMoreThanAskedFor() {
    offer("a", "b", "c");
    assertEquals(2, ring.drain(2, this::take));
    assertEquals(1, ring.size());
    assertEquals(1, ring.drain(2, this::take));
    assertEquals(0, ring.drain(2, this::take));
    assertEquals(List.of("a", "b", "c"), taken);
  }

  /** Guards against a slot that is offered again, as null, after its consumer has failed. */
  @Test
  void anItemWhoseConsumerFailsIsNotOfferedAgain() {
    offer("a", "x1", "x2", "b");
    assertThrows(RuntimeException.class, () -> ring.drain(SIZE, this::take));
    assertEquals(2, ring.size());
    assertThrows(RuntimeException.class, () -> ring.drain(SIZE, this::take));
    assertEquals(1, ring.drain(SIZE, this::take));
    assertEquals(List.of("a", "x1", "x2", "b"), taken);
  }

  /** Guards against a ring that stays full after a consumer has failed. */
  @Test
  void anItemWhoseConsumerFailsMakesRoom() {
    offer("x", "a", "b", "c");
    assertFalse(ring.offer("d"));
    assertThrows(RuntimeException.class, () -> ring.drain(1, this::take));
    offer("d");
    assertEquals(SIZE, ring.drain(SIZE, this::take));
    assertEquals(List.of("x", "a", "b", "c", "d"), taken);
  }

  /** Guards against a log line that names a wrapper in place of what went wrong. */
  @Test
  void theConsumersOwnExceptionComesOut() {
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
