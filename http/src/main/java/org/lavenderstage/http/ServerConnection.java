package org.lavenderstage.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;

/**
 * A connection to a server. Requests that arrive before the previous one is answered wait, so that
 * the responses are in order. Used only by the event loop, but for the completion of responses.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Event that closes a connection once the requests read from it are answered. */
  static final Object SHUTDOWN = new Object();

  /** Number of waiting requests from which on a connection is closed. */
  private static final int MAX_WAITING = 64;

  private static final InternalLogger LOGGER =
      InternalLoggerFactory.getInstance(ServerConnection.class);

  private final Http1Handler handler;
  private final Deque<Arrival> waiting = new ArrayDeque<>();
  private boolean busy;
  private volatile boolean shuttingDown;
  private boolean lastAnswered;

  /** A request and whether its client keeps the connection open. */
  private record Arrival(Http1Request request, boolean keptAlive) {}

  ServerConnection(Http1Handler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest message) {
    if (message.decoderResult().isFailure()) {
      respond(context, Http1Response.of(HttpResponseStatus.BAD_REQUEST.code()), false);
      return;
    }
    Http1Request request =
        new Http1Request(
            message.method(),
            message.uri(),
            message.headers(),
            ByteBufUtil.getBytes(message.content()));
    Arrival arrival = new Arrival(request, HttpUtil.isKeepAlive(message));
    if (!busy) {
      handle(context, arrival);
    } else if (waiting.size() < MAX_WAITING) {
      waiting.addLast(arrival);
    } else {
      var unused = context.close();
    }
  }

  private void handle(ChannelHandlerContext context, Arrival arrival) {
    busy = true;
    CompletableFuture<Http1Handler.Reply> reply;
    try {
      reply = handler.handle(arrival.request());
    } catch (RuntimeException e) {
      reply = CompletableFuture.failedFuture(e);
    }
    CompletableFuture<Void> unused =
        reply
            .exceptionally(failure -> failureReply())
            .thenAccept(
                completed -> {
                  // The last answer of a connection is given once all requests read are known.
                  boolean last = completed.last() || shuttingDown;
                  if (context.executor().inEventLoop() && !last) {
                    answer(context, arrival, completed);
                  } else {
                    context.executor().execute(() -> answer(context, arrival, completed));
                  }
                });
  }

  private static Http1Handler.Reply failureReply() {
    return new Http1Handler.Reply(
        Http1Response.of(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()), false);
  }

  private void answer(
      ChannelHandlerContext context, Arrival arrival, Http1Handler.Reply completed) {
    busy = false;
    // Requests that were read are answered before the connection closes, unless the client has
    // announced that it sends no more.
    Arrival next = arrival.keptAlive() ? waiting.pollFirst() : null;
    boolean last = completed.last() || shuttingDown;
    lastAnswered = !arrival.keptAlive() || (next == null && last);
    respond(context, completed.response(), !lastAnswered);
    if (next != null) {
      handle(context, next);
    }
  }

  private static void respond(
      ChannelHandlerContext context, Http1Response response, boolean keptAlive) {
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.wrappedBuffer(response.body()));
    response
        .contentType()
        .ifPresent(type -> message.headers().set(HttpHeaderNames.CONTENT_TYPE, type));
    response
        .retryAfterSeconds()
        .ifPresent(seconds -> message.headers().set(HttpHeaderNames.RETRY_AFTER, seconds));
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    HttpUtil.setKeepAlive(message, keptAlive);
    var written = context.writeAndFlush(message);
    if (!keptAlive) {
      var unused = written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    shuttingDown |= event == SHUTDOWN;
    // After the last answer the connection closes by itself once the answer is written.
    boolean closable = event instanceof IdleStateEvent || (shuttingDown && !lastAnswered);
    if (closable && !busy) {
      var unused = context.close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // An I/O error means that the client broke the connection; it retries on another one.
    if (!(cause instanceof IOException)) {
      LOGGER.warn("unexpected failure of a connection", cause);
    }
    var unused = context.close();
  }
}
