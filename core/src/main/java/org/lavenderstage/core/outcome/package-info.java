/** What callers are told. */
package org.lavenderstage.core.outcome;
