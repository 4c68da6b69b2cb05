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
  void noWorkspaceIsEvictedFarMoreThanAnother(
      @ForAll @Size(300) List<@IntRange(min = 0, max = 11) Integer> wishes) {
    EvictionBudget budget = new EvictionBudget(5, 1000, 2);
    long now = 0;
    for (int wish : wishes) {
      now += wish * 40L;
      budget.begin(WORKSPACES, now);
      String workspace = WORKSPACES.get(wish % 3);
      if (budget.allows(workspace, 0)) {
        budget.spend(workspace);
      }
      long least = WORKSPACES.stream().mapToLong(budget::count).min().orElseThrow();
      long most = WORKSPACES.stream().mapToLong(budget::count).max().orElseThrow();
      assertTrue(most - least <= 2, () -> WORKSPACES + " differ");
    }
  }

  @Test
  void aWindowEndsTheBudgetOfAWorkspace() {
    EvictionBudget budget = new EvictionBudget(2, 1000, 100);
    budget.begin(WORKSPACES, 0);
    budget.spend("a");
    assertTrue(budget.allows("a", 0));
    assertFalse(budget.allows("a", 1));
    budget.spend("a");
    assertFalse(budget.allows("a", 0));
    budget.begin(WORKSPACES, 1000);
    assertTrue(budget.allows("a", 0));
  }

  @Test
  void aWorkspaceThatComesBackDoesNotHoldTheOthersUp() {
    EvictionBudget budget = new EvictionBudget(100, 1000, 2);
    budget.begin(WORKSPACES, 0);
    for (int i = 0; i < 10; i++) {
      budget.begin(List.of("a", "b"), i + 1);
      budget.spend("a");
      budget.spend("b");
    }
    budget.begin(List.of("a", "b"), 20);
    budget.begin(WORKSPACES, 21);
    assertTrue(budget.allows("a", 0));
    assertEquals(10, budget.count("c"));
  }
}
