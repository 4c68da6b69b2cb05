package org.lavenderstage.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EvictionBudgetTest {
  private static final List<String> WORKSPACES = List.of("a", "b", "c");

  @Property(seed = "1", tries = 100)
  void evictionsAreSpreadEvenlyOverWorkspaces(
      @ForAll @Size(300) List<@IntRange(min = 0, max = 11) Integer> requests) {
    EvictionBudget budget = new EvictionBudget(5, 1000, 2);
    long nowMillis = 0;
    for (int request : requests) {
      nowMillis += request * 40L;
      budget.beginPlan(WORKSPACES, nowMillis);
      String workspace = WORKSPACES.get(request % 3);
      if (budget.allows(workspace, 0)) {
        budget.recordEviction(workspace);
      }
      long least = WORKSPACES.stream().mapToLong(budget::count).min().orElseThrow();
      long most = WORKSPACES.stream().mapToLong(budget::count).max().orElseThrow();
      assertTrue(
          most - least <= 2, () -> WORKSPACES + " have eviction counts that differ by more than 2");
    }
  }

  @Test
  void aNewWindowRestoresTheBudgetOfAWorkspace() {
    EvictionBudget budget = new EvictionBudget(2, 1000, 100);
    budget.beginPlan(WORKSPACES, 0);
    budget.recordEviction("a");
    assertTrue(budget.allows("a", 0));
    assertFalse(budget.allows("a", 1));
    budget.recordEviction("a");
    assertFalse(budget.allows("a", 0));
    budget.beginPlan(WORKSPACES, 1000);
    assertTrue(budget.allows("a", 0));
  }

  @Test
  void aReturningWorkspaceDoesNotBlockEvictionsOfTheOthers() {
    EvictionBudget budget = new EvictionBudget(100, 1000, 2);
    budget.beginPlan(WORKSPACES, 0);
    for (int i = 0; i < 10; i++) {
      budget.beginPlan(List.of("a", "b"), i + 1);
      budget.recordEviction("a");
      budget.recordEviction("b");
    }
    budget.beginPlan(List.of("a", "b"), 20);
    budget.beginPlan(WORKSPACES, 21);
    assertTrue(budget.allows("a", 0));
    assertEquals(10, budget.count("c"));
  }
}
