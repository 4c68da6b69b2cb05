/** The proposals that stand in the platform's log, generated from schema/ledger.yaml. */
package org.lavenderstage.core.record;
