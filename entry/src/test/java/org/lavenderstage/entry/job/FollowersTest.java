package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FollowersTest {
  private static final long VALID_MILLIS = 1_000;
  private static final long NOW = 50_000;

  private final Followers followers = new Followers(VALID_MILLIS);

  /** A single entry cut off with a former owner let it give orders without the store for long. */
  @Test
  void aFewEntriesDoNotStandInForTheStore() {
    followers.heard("b", NOW);
    assertFalse(followers.areMajority(4, NOW));
  }

  @Test
  void aMajorityStandsInForTheStore() {
    followers.heard("b", NOW);
    followers.heard("c", NOW);
    assertTrue(followers.areMajority(4, NOW));
  }

  @Test
  void anOwnerThatNobodyFollowsIsNotFollowed() {
    assertFalse(followers.areMajority(0, NOW));
  }

  @Test
  void anEntryCountsOnlyForAWhileAfterItWasHeard() {
    followers.heard("b", NOW);
    assertTrue(followers.areMajority(1, NOW + VALID_MILLIS));
    assertFalse(followers.areMajority(1, NOW + VALID_MILLIS + 1));
  }

  @Test
  void anEntryThatKnowsALaterOwnerCountsNoLonger() {
    followers.heard("b", NOW);
    followers.left("b");
    assertFalse(followers.areMajority(1, NOW));
  }
}
