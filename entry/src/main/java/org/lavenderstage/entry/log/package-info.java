/** Copies of the log's streams and the appends to them. */
package org.lavenderstage.entry.log;
