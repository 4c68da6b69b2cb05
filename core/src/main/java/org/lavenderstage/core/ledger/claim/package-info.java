/** The fold of the claims of non-idempotent requests. */
package org.lavenderstage.core.ledger.claim;
