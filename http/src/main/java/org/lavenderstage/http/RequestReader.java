package org.lavenderstage.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;

/**
 * Assembles the requests of a connection from the parts that the codec decodes, and counts what
 * they hold in memory. Used only by the event loop.
 */
final class RequestReader {
  /** What a header field takes beside its characters: an entry of the table and two strings. */
  private static final int FIELD_OVERHEAD_BYTES = 150;

  /** What a request takes beside its header fields and body. */
  private static final int REQUEST_OVERHEAD_BYTES = 512;

  private final int maxBodyBytes;
  private Optional<HttpRequest> head = Optional.empty();
  private Optional<HttpHeaders> fields = Optional.empty();
  private ByteBuilder body = new ByteBuilder(0);
  private long headerBytes;
  private boolean inHeader;
  private long startNanos;
  private boolean closed;

  /** What has become of a request after a part of it was read. */
  sealed interface Progress {
    /** The request is not whole yet. */
    record Partial() implements Progress {}

    /** The client waits for an interim response before it sends the body. */
    record Continue() implements Progress {}

    /**
     * The request is whole.
     *
     * @param request the request
     * @param keptAlive whether the client keeps the connection open
     * @param heldBytes number of bytes that the request holds
     */
    record Whole(Http1Request request, boolean keptAlive, long heldBytes) implements Progress {}

    /**
     * The request is malformed or too long.
     *
     * @param status the status to answer with
     */
    record Invalid(HttpResponseStatus status) implements Progress {}
  }

  RequestReader(int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
  }

  /** Returns a factory that counts the header fields of a request while they are decoded. */
  HttpHeadersFactory headersFactory() {
    return factory(this::startHeader);
  }

  /** Returns a factory that counts the fields after a chunked body, which are not used. */
  HttpHeadersFactory trailersFactory() {
    return factory(() -> {});
  }

  private HttpHeadersFactory factory(Runnable start) {
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        start.run();
        fields = Optional.of(new CountedHeaders());
        return fields.get();
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return newHeaders();
      }
    };
  }

  private void startHeader() {
    if (closed) {
      return;
    }
    if (!inHeader) {
      inHeader = true;
      startNanos = System.nanoTime();
    }
    headerBytes = REQUEST_OVERHEAD_BYTES;
  }

  /** Handles a read that has brought bytes, but no part of a request that could be decoded. */
  void handleUndecodedBytes() {
    if (head.isEmpty() && !inHeader) {
      startHeader();
    }
  }

  /** Returns whether a part of a request has arrived. */
  boolean isPartial() {
    return inHeader || head.isPresent();
  }

  /** Returns whether a header has arrived in part. */
  boolean isInHeader() {
    return inHeader;
  }

  /** Returns the monotonic time in nanoseconds since which a request has been arriving. */
  long startNanos() {
    return startNanos;
  }

  /** Restarts the time of a request whose rest was not read meanwhile. */
  void restart(long nowNanos) {
    startNanos = nowNanos;
  }

  /** Returns the number of bytes that the partial request holds. */
  long heldBytes() {
    return isPartial() ? headerBytes + body.capacity() : 0;
  }

  /**
   * Discards the partial request, of which the decoder keeps the headers without their fields, and
   * stores nothing of what is decoded later.
   */
  void close() {
    closed = true;
    head.ifPresent(request -> request.headers().clear());
    fields.ifPresent(HttpHeaders::clear);
    reset();
  }

  private void reset() {
    fields = Optional.empty();
    head = Optional.empty();
    inHeader = false;
    headerBytes = 0;
    body = new ByteBuilder(0);
  }

  /** Reads the next part of a request, which the caller releases. */
  Progress read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      return new Progress.Invalid(HttpResponseStatus.BAD_REQUEST);
    }
    Progress progress = new Progress.Partial();
    if (part instanceof HttpRequest request) {
      progress = readHead(request);
    }
    if (part instanceof HttpContent content && !(progress instanceof Progress.Invalid)) {
      return readBody(content, progress);
    }
    return progress;
  }

  private Progress readHead(HttpRequest request) {
    inHeader = false;
    head = Optional.of(request);
    long length = HttpUtil.getContentLength(request, -1L);
    if (length > maxBodyBytes) {
      return new Progress.Invalid(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    body = new ByteBuilder(length < 0 ? maxBodyBytes : (int) length);
    String expectation = request.headers().get(HttpHeaderNames.EXPECT);
    boolean old = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0;
    if (expectation == null || old) {
      return new Progress.Partial();
    }
    return HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)
        ? new Progress.Continue()
        : new Progress.Invalid(HttpResponseStatus.EXPECTATION_FAILED);
  }

  private Progress readBody(HttpContent content, Progress progress) {
    if (head.isEmpty()) {
      return progress;
    }
    ByteBuf bytes = content.content();
    int count = bytes.readableBytes();
    if (!body.grow(count)) {
      return new Progress.Invalid(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    }
    bytes.readBytes(body.array(), body.length(), count);
    body.advance(count);
    if (!(content instanceof LastHttpContent)) {
      return progress;
    }
    HttpRequest request = head.get();
    byte[] whole = body.toByteArray();
    long heldBytes = headerBytes + whole.length;
    reset();
    return new Progress.Whole(
        new Http1Request(request.method(), request.uri(), request.headers(), whole),
        HttpUtil.isKeepAlive(request),
        heldBytes);
  }

  /** Header fields that are counted when they are added, until the reader is closed. */
  private final class CountedHeaders extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
      return count(name, value) ? super.add(name, value) : this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
      return count(name, value) ? super.add(name, value) : this;
    }

    /** Counts a field, and returns whether it is to be stored. */
    private boolean count(CharSequence name, Object value) {
      if (closed) {
        return false;
      }
      int valueLength = value instanceof CharSequence text ? text.length() : 0;
      headerBytes += FIELD_OVERHEAD_BYTES + name.length() + valueLength;
      return true;
    }
  }
}
