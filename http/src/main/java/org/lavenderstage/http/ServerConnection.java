package org.lavenderstage.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A connection to a server. Requests that arrive before the previous one is answered wait, so that
 * the responses are in order. What the connection holds is charged to its account, and requests
 * without room or progress are refused. Used only by the event loop, but for the completion of
 * responses.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {
  /** Event that closes a connection once the requests read from it are answered. */
  static final Object SHUTDOWN = new Object();

  /** Number of waiting requests from which on a connection is closed. */
  private static final int MAX_WAITING = 64;

  /** Number of waiting requests from which on nothing is read. */
  private static final int MAX_READ_AHEAD = 32;

  /**
   * Number of bytes held by waiting requests from which on nothing is read. Whole requests are
   * never evicted, so a connection must not hold many large ones.
   */
  private static final long MAX_READ_AHEAD_BYTES = 65_536;

  /** Length of the buffer that the decoder may keep for a partial request, in bytes. */
  private static final int READ_BUFFER_BYTES = 16_384;

  /** What a response takes beside its body, in bytes. */
  private static final int RESPONSE_OVERHEAD_BYTES = 1_024;

  /** Time after which a refused client should retry, in seconds. */
  private static final long RETRY_AFTER_SECONDS = 1;

  /**
   * Time for which a refused client that still sends may read its answer, in milliseconds. Closing
   * a connection with unread bytes discards the answer.
   */
  private static final long REFUSAL_READ_MILLIS = 500;

  /**
   * Shortest time until progress is checked, in milliseconds. Bytes that have arrived are read
   * meanwhile.
   */
  private static final long MIN_CHECK_MILLIS = 100;

  /**
   * Delay of a check in nanoseconds from which on the event loop, rather than the client, has stood
   * still. Much longer than a pass of a loop that is busy.
   */
  private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private static final InternalLogger LOGGER =
      InternalLoggerFactory.getInstance(ServerConnection.class);

  private final Http1Handler handler;
  private final ServerLimits limits;
  private final RequestReader reader;
  private final Deque<Arrival> waiting = new ArrayDeque<>();
  private Channel channel;
  private ClientBudget.Account account;
  private Optional<Http1Response> refusal = Optional.empty();
  private long unwrittenBytes;
  private boolean decoded;
  private boolean received;
  private Optional<ScheduledFuture<?>> progressCheck = Optional.empty();
  private long checkNanos;
  private boolean overdue;
  private long waitingBytes;
  private boolean busy;
  private volatile boolean shuttingDown;
  private boolean lastAnswered;

  /** A request, whether its client keeps the connection open, and what it holds in bytes. */
  private record Arrival(Http1Request request, boolean keptAlive, long heldBytes) {}

  ServerConnection(Http1Handler handler, ServerLimits limits, RequestReader reader) {
    this.handler = handler;
    this.limits = limits;
    this.reader = reader;
  }

  /** Sets the channel, and the account that is charged; called before anything is read. */
  void open(Channel openedChannel, ClientBudget.Account openedAccount) {
    channel = openedChannel;
    account = openedAccount;
  }

  /** Notes that bytes have been read which the decoder does not skip before a request. */
  void handleReceived() {
    received = true;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    decoded = true;
    if (refusal.isPresent() || lastAnswered) {
      return;
    }
    switch (reader.read(part)) {
      case RequestReader.Progress.Partial partial -> {}
      case RequestReader.Progress.Continue expected -> askForBody();
      case RequestReader.Progress.Invalid invalid ->
          refuse(Http1Response.of(invalid.status().code()));
      case RequestReader.Progress.Whole whole -> admit(whole);
    }
  }

  private void askForBody() {
    var unused =
        channel.writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (refusal.isEmpty() && !lastAnswered) {
      if (received && !decoded && !reader.isPartial()) {
        reader.handleUndecodedBytes();
      }
      if (reader.isPartial()) {
        scheduleCheck();
        if (!account.hold(evictableBytes())) {
          refuseWithoutRoom();
        }
      }
    }
    decoded = false;
    received = false;
    context.fireChannelReadComplete();
  }

  private long evictableBytes() {
    return unwrittenBytes + (reader.isPartial() ? reader.heldBytes() + READ_BUFFER_BYTES : 0);
  }

  private void admit(RequestReader.Progress.Whole whole) {
    if (!account.admit(whole.heldBytes(), unwrittenBytes)) {
      refuseWithoutRoom();
      return;
    }
    if (waiting.size() >= MAX_WAITING) {
      account.release(whole.heldBytes());
      close();
      return;
    }
    waiting.addLast(new Arrival(whole.request(), whole.keptAlive(), whole.heldBytes()));
    waitingBytes += whole.heldBytes();
    handleWaiting();
  }

  /**
   * Handles the next request, unless one is being handled or the client does not read its answers.
   * Some requests are read ahead, so that those sent before a planned stop are answered.
   */
  private void handleWaiting() {
    if (!busy && !lastAnswered && channel.isWritable()) {
      if (!waiting.isEmpty()) {
        Arrival next = waiting.pollFirst();
        waitingBytes -= next.heldBytes();
        handle(next);
      } else if (refusal.isPresent()) {
        respondLast(refusal.get());
      }
    }
    boolean full = waiting.size() >= MAX_READ_AHEAD || waitingBytes >= MAX_READ_AHEAD_BYTES;
    boolean reads = refusal.isEmpty() && !lastAnswered && !full && channel.isWritable();
    channel.config().setAutoRead(reads);
  }

  private void handle(Arrival arrival) {
    busy = true;
    CompletableFuture<Http1Handler.Reply> reply;
    try {
      reply = handler.handle(arrival.request());
    } catch (Throwable e) {
      // After an error too, the request is answered and no longer charged.
      reply = CompletableFuture.failedFuture(e);
    }
    CompletableFuture<Void> unused =
        reply
            .exceptionally(failure -> failureReply())
            .thenAccept(
                completed -> {
                  // The last answer of a connection is given once all requests read are known.
                  boolean last = completed.last() || shuttingDown;
                  if (channel.eventLoop().inEventLoop() && !last) {
                    answer(arrival, completed);
                  } else {
                    channel.eventLoop().execute(() -> answer(arrival, completed));
                  }
                });
  }

  private static Http1Handler.Reply failureReply() {
    return new Http1Handler.Reply(
        Http1Response.of(HttpResponseStatus.INTERNAL_SERVER_ERROR.code()), false);
  }

  private void answer(Arrival arrival, Http1Handler.Reply completed) {
    busy = false;
    account.release(arrival.heldBytes());
    // Requests that were read are answered before the connection closes, unless the client has
    // announced that it sends no more.
    boolean more = !waiting.isEmpty() || refusal.isPresent();
    boolean last = completed.last() || shuttingDown;
    if (!arrival.keptAlive() || (last && !more)) {
      respondLast(completed.response());
    } else {
      var unused = respond(completed.response(), true);
      handleWaiting();
    }
  }

  private void respondLast(Http1Response response) {
    lastAnswered = true;
    releaseWaiting();
    reader.close();
    var written = respond(response, false);
    if (refusal.isEmpty()) {
      var unused = written.addListener(ChannelFutureListener.CLOSE);
    } else {
      var unused =
          channel.eventLoop().schedule(this::close, REFUSAL_READ_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private ChannelFuture respond(Http1Response response, boolean keptAlive) {
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
    ChannelFuture written = channel.writeAndFlush(message);
    if (!written.isDone()) {
      holdUnwritten(written, RESPONSE_OVERHEAD_BYTES + response.body().length);
    }
    return written;
  }

  private void holdUnwritten(ChannelFuture written, long bytes) {
    unwrittenBytes += bytes;
    if (!account.hold(evictableBytes())) {
      close();
    }
    var unused =
        written.addListener(
            done -> {
              unwrittenBytes -= bytes;
              account.hold(evictableBytes());
            });
  }

  /** Schedules a check when the partial request is due, unless there is an earlier one. */
  private void scheduleCheck() {
    long nowNanos = System.nanoTime();
    long delayNanos =
        Math.max(
            TimeUnit.MILLISECONDS.toNanos(MIN_CHECK_MILLIS),
            progressTimeoutNanos() - (nowNanos - reader.startNanos()));
    if (progressCheck.isPresent() && checkNanos - nowNanos <= delayNanos) {
      return;
    }
    cancelCheck();
    checkNanos = nowNanos + delayNanos;
    progressCheck =
        Optional.of(
            channel.eventLoop().schedule(this::checkProgress, delayNanos, TimeUnit.NANOSECONDS));
  }

  private void cancelCheck() {
    progressCheck.ifPresent(check -> check.cancel(false));
    progressCheck = Optional.empty();
  }

  private long progressTimeoutNanos() {
    return TimeUnit.MILLISECONDS.toNanos(
        reader.isInHeader() ? limits.headerTimeoutMillis() : limits.idleTimeoutMillis());
  }

  /**
   * Refuses a request that is overdue for the second time. What has arrived while the event loop
   * stood still is read only after its tasks, so the first check never refuses.
   */
  private void checkProgress() {
    progressCheck = Optional.empty();
    if (!reader.isPartial()) {
      overdue = false;
      return;
    }
    long nowNanos = System.nanoTime();
    if (!channel.config().isAutoRead() || nowNanos - checkNanos > STALL_NANOS) {
      // The rest was not read meanwhile.
      reader.restart(nowNanos);
    }
    boolean wasOverdue = overdue;
    overdue = nowNanos - reader.startNanos() >= progressTimeoutNanos();
    if (overdue && wasOverdue) {
      refuse(Http1Response.of(HttpResponseStatus.REQUEST_TIMEOUT.code()));
    } else {
      scheduleCheck();
    }
  }

  private void refuseWithoutRoom() {
    refuse(
        Http1Response.of(HttpResponseStatus.SERVICE_UNAVAILABLE.code())
            .retryAfter(RETRY_AFTER_SECONDS));
  }

  /** Refuses the request that is being read, and reads no other. */
  private void refuse(Http1Response response) {
    refusal = Optional.of(response);
    reader.close();
    account.hold(evictableBytes());
    handleWaiting();
  }

  /**
   * Makes room for other clients, as the budget has decided; called by any thread. What other
   * connections read before the next task of the event loop must find the room already.
   */
  void evict() {
    if (channel.eventLoop().inEventLoop()) {
      makeRoom();
    } else {
      channel.eventLoop().execute(this::makeRoom);
    }
  }

  private void makeRoom() {
    boolean answering = busy || !waiting.isEmpty();
    if (refusal.isPresent() && answering && unwrittenBytes == 0) {
      // It was refused after the budget had decided, and closes after the answers that it owes.
      return;
    }
    if (refusal.isPresent() || lastAnswered || unwrittenBytes > 0) {
      close();
    } else if (reader.isPartial() || answering) {
      refuseWithoutRoom();
    } else {
      close();
    }
  }

  private void close() {
    var unused = channel.close();
  }

  private void releaseWaiting() {
    waiting.forEach(arrival -> account.release(arrival.heldBytes()));
    waiting.clear();
    waitingBytes = 0;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    handleWaiting();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    lastAnswered = true;
    cancelCheck();
    releaseWaiting();
    reader.close();
    account.close();
    context.fireChannelInactive();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    shuttingDown |= event == SHUTDOWN;
    // A request that is arriving is refused by the check of its progress.
    boolean arriving = reader.isPartial() && channel.config().isAutoRead();
    boolean idle = event instanceof IdleStateEvent && !arriving;
    // After the last answer the connection closes by itself once the answer is written.
    boolean closable = idle || (shuttingDown && !lastAnswered && waiting.isEmpty());
    if (closable && !busy) {
      close();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // An I/O error means that the client broke the connection; it retries on another one.
    if (!(cause instanceof IOException)) {
      LOGGER.warn("unexpected failure of a connection", cause);
    }
    close();
  }
}
