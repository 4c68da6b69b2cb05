/** What an entry does about the claims of non-idempotent requests, as pure decisions. */
package org.lavenderstage.core.claim;
