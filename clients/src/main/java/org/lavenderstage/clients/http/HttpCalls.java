package org.lavenderstage.clients.http;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;

/** Makes blocking HTTP calls with JSON bodies, each bounded by a timeout. */
final class HttpCalls {
  private final Duration timeout;

  HttpCalls(Duration timeout) {
    this.timeout = timeout;
  }

  <T> T get(String address, String path, Duration extraWait, Class<T> responseType)
      throws PlatformUnavailableException {
    return call(address, HttpRequest.of(HttpMethod.GET, path), extraWait, responseType);
  }

  <T> T post(String address, String path, Object body, Class<T> responseType)
      throws PlatformUnavailableException {
    HttpRequest request =
        HttpRequest.of(HttpMethod.POST, path, MediaType.JSON, JsonCodec.encode(body));
    return call(address, request, Duration.ZERO, responseType);
  }

  private <T> T call(String address, HttpRequest request, Duration extraWait, Class<T> responseType)
      throws PlatformUnavailableException {
    String action = request.method() + " " + address + request.path();
    try {
      AggregatedHttpResponse response =
          WebClient.builder("http://" + address)
              .responseTimeout(timeout.plus(extraWait))
              .build()
              .execute(request)
              .aggregate()
              .get();
      if (!response.status().equals(HttpStatus.OK)) {
        throw new PlatformUnavailableException(action + ": status " + response.status(), null);
      }
      return JsonCodec.decode(response.content().array(), responseType);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PlatformUnavailableException(action, e);
    } catch (ExecutionException | MalformedMessageException e) {
      throw new PlatformUnavailableException(action, e);
    }
  }
}
