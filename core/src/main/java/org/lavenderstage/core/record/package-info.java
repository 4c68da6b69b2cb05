/** The records of the platform's log, generated from schema/ledger.yaml. */
package org.lavenderstage.core.record;
