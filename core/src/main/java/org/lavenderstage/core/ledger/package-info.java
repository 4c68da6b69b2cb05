/** The replicated state of the log's streams: what is common to all of them. */
package org.lavenderstage.core.ledger;
