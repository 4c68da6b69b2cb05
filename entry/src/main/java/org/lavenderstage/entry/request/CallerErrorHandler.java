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

/** Gives the server's own errors the form of every other answer, without any trace of a cause. */
public final class CallerErrorHandler implements ServerErrorHandler {
  /** Makes a handler. */
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
   * Finds the code of a failure on the way to the service, before anything could run.
   *
   * @param failure the failure
   * @return the code
   */
  static ResultCode code(Throwable failure) {
    Optional<Throwable> cause = Optional.of(failure);
    while (cause.isPresent()) {
      Throwable one = cause.get();
      if (one instanceof ContentTooLargeException) {
        return ResultCode.BODY_TOO_LARGE;
      }
      if (one instanceof ClosedStreamException || one instanceof AbortedStreamException) {
        return ResultCode.REQUEST_CUT;
      }
      cause = Optional.ofNullable(one.getCause());
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
