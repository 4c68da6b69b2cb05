/** Communication between the entries: links, heartbeats and recovery from peers. */
package org.lavenderstage.entry.peer;
