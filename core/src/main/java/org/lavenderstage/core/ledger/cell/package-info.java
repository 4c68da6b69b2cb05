/** The fold of a cell's stream: owner, workers, jobs and placements. */
package org.lavenderstage.core.ledger.cell;
