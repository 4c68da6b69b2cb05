package org.lavenderstage.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** HTTP/1.1 server. Answers the requests of each connection one after the other, in order. */
public final class Http1Server implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  /** Longest wait of {@link #close} for pending requests, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private static final long SHUTDOWN_POLL_MILLIS = 10;

  private final EventLoopGroup loops;
  private final int maxBodyBytes;
  private final long idleTimeoutMillis;
  private final List<Channel> listeners = new ArrayList<>();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /**
   * Creates a server that does not listen yet.
   *
   * @param loops event loops; not closed with the server
   * @param maxBodyBytes longest body of a request; a longer one is answered with status 413
   * @param idleTimeoutMillis time after which an idle connection is closed
   */
  public Http1Server(EventLoopGroup loops, int maxBodyBytes, long idleTimeoutMillis) {
    this.loops = loops;
    this.maxBodyBytes = maxBodyBytes;
    this.idleTimeoutMillis = idleTimeoutMillis;
  }

  /**
   * Starts to listen on a port.
   *
   * @param host address to listen on
   * @param port port to listen on, 0 for any free port
   * @param handler handles the requests; called by an event loop
   * @return the port
   */
  public int listen(String host, int port, Http1Handler handler) {
    var bind =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initialize(channel, handler);
                  }
                })
            .bind(new InetSocketAddress(host, port))
            .awaitUninterruptibly();
    if (!bind.isSuccess()) {
      throw new UncheckedIOException(
          "cannot listen on " + host + ":" + port, new IOException(bind.cause()));
    }
    listeners.add(bind.channel());
    return ((InetSocketAddress) bind.channel().localAddress()).getPort();
  }

  private void initialize(Channel channel, Http1Handler handler) {
    connections.add(channel);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, idleTimeoutMillis, TimeUnit.MILLISECONDS))
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(maxBodyBytes, true))
        .addLast(new ServerConnection(handler));
  }

  /**
   * Stops listening, and closes each connection once the requests read from it are answered.
   *
   * @param timeoutMillis longest wait for the answers, in milliseconds; connections with pending
   *     requests stay open after it
   * @return whether all connections are closed
   */
  public boolean shutDown(long timeoutMillis) {
    listeners.forEach(listener -> listener.close().awaitUninterruptibly());
    long startNanos = System.nanoTime();
    while (true) {
      // A connection may have been accepted just before the listeners were closed.
      connections.forEach(
          channel -> channel.pipeline().fireUserEventTriggered(ServerConnection.SHUTDOWN));
      if (connections.isEmpty()) {
        return true;
      }
      if (TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos) >= timeoutMillis) {
        return false;
      }
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_POLL_MILLIS));
    }
  }

  /** Shuts down, and closes the connections whose requests are not answered within some seconds. */
  @Override
  public void close() {
    shutDown(CLOSE_TIMEOUT_MILLIS);
    connections.close().awaitUninterruptibly();
  }
}
