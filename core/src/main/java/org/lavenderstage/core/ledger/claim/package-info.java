/** The replicated claims of non-idempotent requests. */
package org.lavenderstage.core.ledger.claim;
