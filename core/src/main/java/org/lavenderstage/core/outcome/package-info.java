/** The result codes and outcomes that callers receive. */
package org.lavenderstage.core.outcome;
