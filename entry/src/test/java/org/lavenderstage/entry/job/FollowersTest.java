package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FollowersTest {
  private static final long VALID_MILLIS = 1_000;
  private static final long NOW_MILLIS = 50_000;

  private final Followers followers = new Followers(VALID_MILLIS);

  /**
   * A previous owner kept sending orders without the store because a single entry, disconnected
   * together with it, still followed it.
   */
  @Test
  void minorityDoesNotConfirmOwnership() {
    followers.addFollower("b", NOW_MILLIS);
    assertFalse(followers.formMajority(4, NOW_MILLIS));
  }

  @Test
  void majorityConfirmsOwnership() {
    followers.addFollower("b", NOW_MILLIS);
    followers.addFollower("c", NOW_MILLIS);
    assertTrue(followers.formMajority(4, NOW_MILLIS));
  }

  @Test
  void ownerWithoutFollowersHasNoMajority() {
    assertFalse(followers.formMajority(0, NOW_MILLIS));
  }

  @Test
  void followerExpires() {
    followers.addFollower("b", NOW_MILLIS);
    assertTrue(followers.formMajority(1, NOW_MILLIS + VALID_MILLIS));
    assertFalse(followers.formMajority(1, NOW_MILLIS + VALID_MILLIS + 1));
  }

  @Test
  void entryWithLaterOwnerDoesNotCount() {
    followers.addFollower("b", NOW_MILLIS);
    followers.removeFollower("b");
    assertFalse(followers.formMajority(1, NOW_MILLIS));
  }
}
