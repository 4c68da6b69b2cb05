package org.lavenderstage.core.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class OccurrenceSetTest {
  @Test
  void numbersThatFollowEachOtherAreOneRange() {
    OccurrenceSet set = new OccurrenceSet();
    for (int number : new int[] {0, 2, 1, 5, 4, 9}) {
      set.add(number);
    }
    assertEquals(List.of(0, 2, 4, 5, 9, 9), set.bounds());
    assertEquals(6, set.size());
    assertEquals(3, set.nextMissing(0));
    assertEquals(6, set.nextMissing(4));
    assertEquals(7, set.nextMissing(7));
  }

  @Test
  void largestNumberIsItsOwnRange() {
    OccurrenceSet set = OccurrenceSet.of(List.of(Integer.MAX_VALUE, Integer.MAX_VALUE));
    set.add(0);
    assertTrue(set.contains(Integer.MAX_VALUE));
    assertFalse(set.contains(Integer.MAX_VALUE - 1));
    assertEquals(2, set.size());
  }

  @Property(tries = 200)
  void containsWhatWasAddedAndNothingElse(@ForAll long seed) {
    Random random = new Random(seed);
    OccurrenceSet set = new OccurrenceSet();
    TreeSet<Integer> expected = new TreeSet<>();
    for (int i = 0; i < 60; i++) {
      int number = random.nextInt(80);
      set.add(number);
      expected.add(number);
    }
    OccurrenceSet copy = OccurrenceSet.of(set.bounds());
    for (int number = 0; number < 82; number++) {
      assertEquals(expected.contains(number), set.contains(number));
      assertEquals(expected.contains(number), copy.contains(number));
    }
    assertEquals(expected.size(), set.size());
    assertEquals(expected.size(), copy.size());
  }
}
