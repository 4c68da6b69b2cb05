package org.lavenderstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** A connection of a client, with at most one call at a time. Used only by the event loop. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /**
   * Longest body of a response in bytes; several times the longest page of the platform's store.
   */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private static final int INITIAL_BODY_BYTES = 256;

  private final Http1Client client;
  private final String address;
  private ChannelHandlerContext context;
  private Optional<Http1Client.Exchange> current = Optional.empty();
  private ScheduledFuture<?> timeout;
  private long idleSinceNanos;
  private int status;
  private boolean informational;
  private boolean keptAlive;
  private boolean closed;
  private boolean proven;
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);

  ClientConnection(Http1Client client, String address) {
    this.client = client;
    this.address = address;
  }

  String address() {
    return address;
  }

  /** Returns whether a call was answered on this connection. */
  boolean isProven() {
    return proven;
  }

  long idleMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  void send(Http1Client.Exchange exchange) {
    current = Optional.of(exchange);
    Http1Request request = exchange.request();
    HttpHeaders headers = request.headers();
    headers.set(HttpHeaderNames.HOST, address);
    if (request.body().length > 0) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    var unused =
        context
            .writeAndFlush(
                new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    request.method(),
                    request.target(),
                    Unpooled.wrappedBuffer(request.body()),
                    headers,
                    EmptyHttpHeaders.INSTANCE))
            .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    timeout =
        context
            .executor()
            .schedule(this::handleTimeout, exchange.timeoutMillis(), TimeUnit.MILLISECONDS);
  }

  private void handleTimeout() {
    client.closeIdleConnections(address);
    current.ifPresent(exchange -> fail("no response within " + exchange.timeoutMillis() + " ms"));
  }

  @Override
  public void channelRead(ChannelHandlerContext ignored, Object message) {
    try {
      if (current.isEmpty()) {
        close();
      } else if (message instanceof HttpObject part && part.decoderResult().isFailure()) {
        fail("malformed response: " + part.decoderResult().cause());
      } else {
        read(message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(Object message) {
    if (message instanceof HttpResponse response) {
      status = response.status().code();
      informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      keptAlive = HttpUtil.isKeepAlive(response);
      body = new ByteArrayOutputStream(INITIAL_BODY_BYTES);
    }
    if (message instanceof HttpContent content) {
      append(content.content());
    }
    if (message instanceof LastHttpContent && !informational && current.isPresent()) {
      complete();
    }
  }

  private void append(ByteBuf part) {
    if (body.size() + part.readableBytes() > MAX_BODY_BYTES) {
      fail("response longer than " + MAX_BODY_BYTES + " bytes");
      return;
    }
    try {
      part.readBytes(body, part.readableBytes());
    } catch (IOException e) {
      throw new IllegalStateException("a byte array cannot be written", e);
    }
  }

  private void complete() {
    Http1Client.Exchange exchange = current.orElseThrow();
    current = Optional.empty();
    timeout.cancel(false);
    Http1Response response =
        new Http1Response(status, Optional.empty(), OptionalLong.empty(), body.toByteArray());
    body = new ByteArrayOutputStream(0);
    if (!proven) {
      proven = true;
      client.recordProven(this);
    }
    // Released first, so that a call made by the one who waits can use this connection.
    if (keptAlive && context.channel().isActive()) {
      idleSinceNanos = System.nanoTime();
      client.release(this);
    } else {
      close();
    }
    exchange.response().complete(response);
  }

  private void fail(String cause) {
    if (current.isPresent()) {
      Http1Client.Exchange exchange = current.get();
      current = Optional.empty();
      timeout.cancel(false);
      exchange.fail(cause);
    }
    close();
  }

  void close() {
    if (closed) {
      return;
    }
    closed = true;
    var unused = context.close();
    client.remove(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ignored) {
    fail("connection closed before the response");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ignored, Throwable cause) {
    fail(cause.toString());
  }
}
