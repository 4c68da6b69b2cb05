/** The replicated state of a cell: owner, workers, jobs and placements. */
package org.lavenderstage.core.ledger.cell;
