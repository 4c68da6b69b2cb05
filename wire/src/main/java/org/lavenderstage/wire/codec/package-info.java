/** Codecs of the messages: JSON, and MessagePack for the log, the store and the peer links. */
package org.lavenderstage.wire.codec;
