/** Membership: which entries are live. */
package org.lavenderstage.core.membership;
