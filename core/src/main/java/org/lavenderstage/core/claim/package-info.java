/** The decisions of an entry about the claims of non-idempotent requests, without I/O. */
package org.lavenderstage.core.claim;
