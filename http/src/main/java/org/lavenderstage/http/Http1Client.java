package org.lavenderstage.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.NetUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/**
 * HTTP/1.1 client that keeps connections open between calls. Each connection carries one call at a
 * time; a connection whose call failed or timed out is closed. A timeout also closes the idle
 * connections to the same address: they may be as silent, and each would cost another timeout. The
 * number of connections to an address is limited, and more so that of connections on which no call
 * has been answered yet; further calls wait, urgent ones ahead of the others. All work is done by
 * one event loop.
 */
public final class Http1Client implements AutoCloseable {
  private static final int MAX_PORT = 65_535;

  /** Interval at which idle connections are checked, as a fraction of the idle timeout. */
  private static final int CHECKS_PER_IDLE_TIMEOUT = 4;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final long sendTimeoutMillis;
  private final long idleTimeoutMillis;

  /** The connections by address. Used only by the event loop. */
  private final Map<String, ConnectionPool> pools = new HashMap<>();

  private final ScheduledFuture<?> idleCheck;
  private boolean closed;

  /**
   * Creates a client.
   *
   * @param loops event loops, of which the client uses one; not closed with the client
   * @param connectTimeoutMillis timeout for opening a connection
   * @param sendTimeoutMillis time after which a request that was not written yet is not sent any
   *     more, since what it was decided on may be outdated: the process may have been paused
   * @param idleTimeoutMillis time after which an idle connection is closed
   */
  public Http1Client(
      EventLoopGroup loops,
      int connectTimeoutMillis,
      long sendTimeoutMillis,
      long idleTimeoutMillis) {
    this.sendTimeoutMillis = sendTimeoutMillis;
    this.idleTimeoutMillis = idleTimeoutMillis;
    loop = loops.next();
    bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec());
                  }
                });
    long intervalMillis = Math.max(1, idleTimeoutMillis / CHECKS_PER_IDLE_TIMEOUT);
    idleCheck =
        loop.scheduleWithFixedDelay(
            this::closeExpiredConnections, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends a request. Never throws: a call that cannot be made, for example because the address is
   * invalid, completes its future exceptionally.
   *
   * @param address IPv4 address and port
   * @param request the request, used for this call only; the client adds headers
   * @param timeoutMillis timeout of the response, from the time at which the request is written
   * @return the response; completed by the event loop
   */
  public CompletableFuture<Http1Response> send(
      String address, Http1Request request, long timeoutMillis) {
    return send(address, request, timeoutMillis, false);
  }

  /**
   * Sends an urgent request, which waits for a connection ahead of the others and is not subject to
   * the limit of connections without an answer. To be used for few requests at a time.
   *
   * @param address IPv4 address and port
   * @param request the request, used for this call only; the client adds headers
   * @param timeoutMillis timeout of the response, from the time at which the request is written
   * @return the response; completed by the event loop
   */
  public CompletableFuture<Http1Response> sendUrgent(
      String address, Http1Request request, long timeoutMillis) {
    return send(address, request, timeoutMillis, true);
  }

  private CompletableFuture<Http1Response> send(
      String address, Http1Request request, long timeoutMillis, boolean urgent) {
    Exchange exchange =
        new Exchange(
            address,
            request,
            timeoutMillis,
            urgent,
            new CompletableFuture<>(),
            System.nanoTime(),
            System.currentTimeMillis());
    try {
      loop.execute(() -> start(exchange));
    } catch (RejectedExecutionException e) {
      exchange.response().completeExceptionally(e);
    }
    return exchange.response();
  }

  /**
   * A call, its future response, and the monotonic and the wall-clock time at which it was made.
   */
  record Exchange(
      String address,
      Http1Request request,
      long timeoutMillis,
      boolean urgent,
      CompletableFuture<Http1Response> response,
      long madeAtNanos,
      long madeAtWallMillis) {
    /**
     * Returns how long ago the call was made, in milliseconds. The monotonic clock stands still
     * while a VM is suspended, and the wall clock may jump, so the longer time counts.
     */
    long ageMillis() {
      return Math.max(
          TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - madeAtNanos),
          System.currentTimeMillis() - madeAtWallMillis);
    }

    void fail(String cause) {
      response.completeExceptionally(new IOException(cause));
    }
  }

  private void start(Exchange exchange) {
    if (closed) {
      exchange.fail("the client is closed");
      return;
    }
    if (isOutdated(exchange)) {
      return;
    }
    ConnectionPool pool =
        pools.computeIfAbsent(exchange.address(), address -> new ConnectionPool());
    Optional<ClientConnection> idle = pool.takeIdle();
    if (idle.isPresent()) {
      idle.get().send(exchange);
    } else if (pool.reserve(exchange.urgent())) {
      connect(exchange);
    } else {
      pool.await(exchange);
    }
  }

  private void connect(Exchange exchange) {
    InetSocketAddress address;
    try {
      address = parse(exchange.address());
    } catch (IOException e) {
      recordFailed(exchange.address());
      exchange.response().completeExceptionally(e);
      return;
    }
    ChannelFuture unused =
        bootstrap
            .connect(address)
            .addListener(result -> connected(exchange, (ChannelFuture) result));
  }

  private void connected(Exchange exchange, ChannelFuture result) {
    if (!result.isSuccess()) {
      recordFailed(exchange.address());
      exchange.response().completeExceptionally(result.cause());
      return;
    }
    ClientConnection connection = new ClientConnection(this, exchange.address());
    result.channel().pipeline().addLast(connection);
    if (isOutdated(exchange)) {
      connection.close();
    } else {
      connection.send(exchange);
    }
  }

  /** Returns whether a call waited too long in this process, which fails it. */
  private boolean isOutdated(Exchange exchange) {
    long ageMillis = exchange.ageMillis();
    if (ageMillis > sendTimeoutMillis) {
      exchange.fail("not sent, since it waited for " + ageMillis + " ms");
      return true;
    }
    return false;
  }

  /** Records the first answer on a connection, after which others may be opened. */
  void recordProven(ClientConnection connection) {
    pools.get(connection.address()).recordProven();
  }

  /** Uses a connection for a call that waits, or keeps it for the next one to the same address. */
  void release(ClientConnection connection) {
    ConnectionPool pool = pools.get(connection.address());
    Optional<Exchange> next = closed ? Optional.empty() : nextWaiting(pool);
    if (next.isPresent()) {
      connection.send(next.get());
      startWaiting(pool);
    } else if (closed || !pool.keepIdle(connection)) {
      connection.close();
    }
  }

  /** Removes a connection that was closed. */
  void remove(ClientConnection connection) {
    ConnectionPool pool = pools.get(connection.address());
    pool.removeIdle(connection);
    if (connection.isProven()) {
      pool.recordClosed();
    } else {
      pool.recordFailed();
    }
    usePlaces(connection.address(), pool);
  }

  /** Records that a connection could not be opened. */
  private void recordFailed(String address) {
    ConnectionPool pool = pools.get(address);
    pool.recordFailed();
    usePlaces(address, pool);
  }

  private void usePlaces(String address, ConnectionPool pool) {
    startWaiting(pool);
    if (pool.isUnused()) {
      pools.remove(address, pool);
    }
  }

  /** Opens connections for the calls that wait, as far as they have a place. */
  private void startWaiting(ConnectionPool pool) {
    Optional<Exchange> next = pool.nextWaiting();
    while (next.isPresent()) {
      if (closed || next.get().ageMillis() > sendTimeoutMillis) {
        start(pool.takeWaiting().orElseThrow());
      } else if (pool.reserve(next.get().urgent())) {
        connect(pool.takeWaiting().orElseThrow());
      } else {
        return;
      }
      next = pool.nextWaiting();
    }
  }

  /** Takes the next waiting call that is not outdated; fails those that are. */
  private Optional<Exchange> nextWaiting(ConnectionPool pool) {
    Optional<Exchange> next = pool.takeWaiting();
    while (next.isPresent() && isOutdated(next.get())) {
      next = pool.takeWaiting();
    }
    return next;
  }

  /** Closes the idle connections to an address at which a call has timed out. */
  void closeIdleConnections(String address) {
    pools.get(address).idle().forEach(ClientConnection::close);
  }

  private void closeExpiredConnections() {
    allIdle().stream()
        .filter(connection -> connection.idleMillis() >= idleTimeoutMillis)
        .forEach(ClientConnection::close);
  }

  private List<ClientConnection> allIdle() {
    return pools.values().stream().flatMap(pool -> pool.idle().stream()).toList();
  }

  /** Parses an IPv4 address and port; names are not looked up. */
  private static InetSocketAddress parse(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
    try {
      int port = ip == null ? -1 : Integer.parseInt(address.substring(colon + 1));
      if (port > 0 && port <= MAX_PORT) {
        return new InetSocketAddress(InetAddress.getByAddress(ip), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      throw new IOException("expected an IPv4 address and port, found " + address, e);
    }
    throw new IOException("expected an IPv4 address and port, found " + address);
  }

  /** Closes the idle connections; calls that are pending go on. */
  @Override
  public void close() {
    idleCheck.cancel(false);
    try {
      loop.execute(
          () -> {
            closed = true;
            allIdle().forEach(ClientConnection::close);
          });
    } catch (RejectedExecutionException e) {
      // the event loop has ended, and its connections with it
    }
  }
}
