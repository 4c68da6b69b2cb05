/** Replicas of the log's streams, appends to them, and their snapshots. */
package org.lavenderstage.entry.log;
