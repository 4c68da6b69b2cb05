package org.lavenderstage.core.claim;

/** Broken variants of the mechanism; an oracle must catch each. */
enum ClaimDefect {
  NONE,
  DISPATCHES_BEFORE_READ_BACK,
  DENIES_WITHOUT_GIVING_UP,
  SKIPS_THE_LAST_CHECK,
  RUNS_FOR_A_LOST_OWNER,
  TRUSTS_A_REFUSAL_OF_ANOTHER_REQUEST,
  FORGETS_BEFORE_IT_REFUSES,
  IGNORES_THE_REQUEST_ID
}
