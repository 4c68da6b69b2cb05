package org.lavenderstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Tells a connection, before the codec, that bytes have been read. Empty lines and other blanks do
 * not count: the decoder skips them between requests, and a request that they belong to has begun
 * already.
 */
final class ReceivedBytes extends ChannelInboundHandlerAdapter {
  private static final int DELETE = 0x7f;

  private final ServerConnection connection;

  ReceivedBytes(ServerConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes && bytes.forEachByte(ReceivedBytes::isSkipped) >= 0) {
      connection.handleReceived();
    }
    context.fireChannelRead(message);
  }

  private static boolean isSkipped(byte value) {
    return (value >= 0 && value <= ' ') || value == DELETE;
  }
}
