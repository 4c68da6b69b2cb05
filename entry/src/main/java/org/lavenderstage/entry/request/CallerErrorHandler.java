package org.lavenderstage.entry.request;

import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.ContentTooLargeException;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.stream.AbortedStreamException;
import com.linecorp.armeria.common.stream.ClosedStreamException;
import com.linecorp.armeria.server.HttpStatusException;
import com.linecorp.armeria.server.ServerErrorHandler;
import com.linecorp.armeria.server.ServiceConfig;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.Optional;
import org.lavenderstage.core.outcome.ResultCode;

/** Renders errors of the HTTP server like all other answers and reveals nothing of their causes. */
public final class CallerErrorHandler implements ServerErrorHandler {
  /** Creates a handler. */
  public CallerErrorHandler() {}

  @Override
  public HttpResponse onServiceException(ServiceRequestContext context, Throwable cause) {
    if (cause instanceof HttpStatusException status) {
      return CallerAnswer.of(code(status.httpStatus()), 0).toResponse();
    }
    return CallerAnswer.of(code(cause), 0).toResponse();
  }

  @Override
  public AggregatedHttpResponse onProtocolViolation(
      ServiceConfig config,
      RequestHeaders headers,
      HttpStatus status,
      String description,
      Throwable cause) {
    return CallerAnswer.of(code(status), 0).toAggregated();
  }

  @Override
  public AggregatedHttpResponse renderStatus(
      ServiceRequestContext context,
      ServiceConfig config,
      RequestHeaders headers,
      HttpStatus status,
      String description,
      Throwable cause) {
    return CallerAnswer.of(code(status), 0).toAggregated();
  }

  /**
   * Returns the result code of a failure that happened before the request reached the service, so
   * that nothing has run.
   *
   * @param failure the failure; its causes are searched too
   * @return the result code
   */
  static ResultCode code(Throwable failure) {
    Optional<Throwable> cause = Optional.of(failure);
    while (cause.isPresent()) {
      Throwable current = cause.get();
      if (current instanceof ContentTooLargeException) {
        return ResultCode.BODY_TOO_LARGE;
      }
      if (current instanceof ClosedStreamException || current instanceof AbortedStreamException) {
        return ResultCode.REQUEST_CUT;
      }
      cause = Optional.ofNullable(current.getCause());
    }
    return ResultCode.INTERNAL;
  }

  private static ResultCode code(HttpStatus status) {
    return switch (status.code()) {
      case 400 -> ResultCode.BAD_REQUEST;
      case 404 -> ResultCode.UNKNOWN_PATH;
      case 405 -> ResultCode.METHOD_NOT_ALLOWED;
      case 413 -> ResultCode.BODY_TOO_LARGE;
      case 503 -> ResultCode.NOT_READY;
      default -> status.isClientError() ? ResultCode.BAD_REQUEST : ResultCode.INTERNAL;
    };
  }
}
