/** Messages between the entries, generated from schema/peer.yaml. */
package org.lavenderstage.wire.peer;
