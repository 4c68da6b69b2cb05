package org.lavenderstage.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** HTTP/1.1 server. Answers the requests of each connection one after the other, in order. */
public final class Http1Server implements AutoCloseable {
  private static final int BACKLOG = 1_024;

  /** Longest wait of {@link #close} for pending requests, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 5_000;

  private static final long SHUTDOWN_POLL_MILLIS = 10;

  /** Longest header and time for it, where the caller sets no limits, in bytes and ms. */
  private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;

  private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 3_000;

  /** Number of connections to a port where the caller sets none. */
  private static final int DEFAULT_MAX_CONNECTIONS = 1_024;

  /** Sizes of the buffer for a read in bytes; a header that is not whole keeps one. */
  private static final int MIN_READ_BYTES = 512;

  private static final int INITIAL_READ_BYTES = 2_048;
  private static final int MAX_READ_BYTES = 16_384;

  private final EventLoopGroup loops;
  private final ServerLimits limits;
  private final ClientBudget budget;
  private final List<Channel> listeners = new ArrayList<>();
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /**
   * Creates a server that does not listen yet, with a budget of its own.
   *
   * @param loops event loops; not closed with the server
   * @param maxBodyBytes longest body of a request; a longer one is answered with status 413
   * @param idleTimeoutMillis time after which an idle connection is closed
   */
  public Http1Server(EventLoopGroup loops, int maxBodyBytes, long idleTimeoutMillis) {
    this(
        loops,
        new ServerLimits(
            DEFAULT_MAX_HEADER_BYTES,
            maxBodyBytes,
            DEFAULT_HEADER_TIMEOUT_MILLIS,
            idleTimeoutMillis),
        ClientBudget.ofProcess(counts -> {}));
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param loops event loops; not closed with the server
   * @param limits limits of the requests
   * @param budget bounds what the clients hold
   */
  public Http1Server(EventLoopGroup loops, ServerLimits limits, ClientBudget budget) {
    this.loops = loops;
    this.limits = limits;
    this.budget = budget;
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
    return listen(host, port, DEFAULT_MAX_CONNECTIONS, handler);
  }

  /**
   * Starts to listen on a port.
   *
   * @param host address to listen on
   * @param port port to listen on, 0 for any free port
   * @param maxConnections number of connections to the port; beyond it, idle ones are closed
   * @param handler handles the requests; called by an event loop
   * @return the port
   */
  public int listen(String host, int port, int maxConnections, Http1Handler handler) {
    ClientBudget.Group group = budget.group(maxConnections);
    var bind =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initialize(channel, group, handler);
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

  private void initialize(Channel channel, ClientBudget.Group group, Http1Handler handler) {
    RequestReader reader = new RequestReader(limits.maxBodyBytes());
    HttpDecoderConfig decoding =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeaderBytes())
            .setMaxHeaderSize(limits.maxHeaderBytes())
            .setHeadersFactory(reader.headersFactory())
            .setTrailersFactory(reader.trailersFactory());
    ServerConnection connection = new ServerConnection(handler, limits, reader);
    Optional<ClientBudget.Account> account = group.open(connection::evict);
    if (account.isEmpty()) {
      var unused = channel.close();
      return;
    }
    connection.open(channel, account.get());
    connections.add(channel);
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMillis(), TimeUnit.MILLISECONDS))
        .addLast(new ReceivedBytes(connection))
        .addLast(new HttpServerCodec(decoding))
        .addLast(connection);
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
