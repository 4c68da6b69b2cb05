/** Codecs of the schema messages: JSON, and MessagePack for the log and the peer links. */
package org.lavenderstage.wire.codec;
