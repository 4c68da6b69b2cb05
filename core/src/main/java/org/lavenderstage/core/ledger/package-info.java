/** The fold of the log: what is common to all streams. */
package org.lavenderstage.core.ledger;
