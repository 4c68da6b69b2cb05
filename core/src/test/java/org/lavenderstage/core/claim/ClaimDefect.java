package org.lavenderstage.core.claim;

/** Defects of the claim mechanism; the oracle must detect each of them. */
enum ClaimDefect {
  NONE,
  DISPATCHES_BEFORE_CLAIM_IS_APPLIED,
  DENIES_WITHOUT_RELEASING,
  SKIPS_DISPATCH_CHECK,
  DISPATCHES_FOR_LOST_OWNER,
  TRUSTS_REFUSAL_OF_OTHER_REQUEST,
  REMOVES_CLAIMS_OF_VALID_KEYS,
  IGNORES_REQUEST_ID
}
