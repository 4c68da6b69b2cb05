/** The sheet in force and its synchronization with the log and the peers. */
package org.lavenderstage.entry.config;
