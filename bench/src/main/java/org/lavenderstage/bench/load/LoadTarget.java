package org.lavenderstage.bench.load;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.RequestHeaders;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.lavenderstage.clients.Headers;
import org.lavenderstage.wire.settings.LoadSettings;

/** The destination of the requests of a load run. */
sealed interface LoadTarget {
  /**
   * Sends one request.
   *
   * @param number sequence number of the request
   * @return whether the response was complete
   */
  CompletableFuture<Boolean> send(long number);

  /** Sends requests to entries in turn, as the platform's load balancer does. */
  record ThroughEntries(List<WebClient> clients, RequestHeaders headers, HttpData body)
      implements LoadTarget {
    ThroughEntries(ClientFactory factory, List<String> entries, LoadSettings settings) {
      this(
          entries.stream().map(entry -> clientOf(factory, entry)).toList(),
          RequestHeaders.builder(
                  HttpMethod.POST,
                  "/v1/workspaces/"
                      + settings.workspace()
                      + "/services/"
                      + settings.service()
                      + "/requests")
              .add("authorization", "Bearer " + settings.token())
              .add("content-type", "application/octet-stream")
              .build(),
          bodyOf(settings));
    }

    @Override
    public CompletableFuture<Boolean> send(long number) {
      WebClient client = clients.get((int) (number % clients.size()));
      return client
          .execute(HttpRequest.of(headers, body))
          .aggregate()
          .handle(
              (answer, failure) ->
                  failure == null
                      && answer.status().isSuccess()
                      && "answered".equals(answer.headers().get(Headers.OUTCOME)));
    }
  }

  /** Sends requests directly to one executor. */
  record ToExecutor(WebClient client, RequestHeaders headers, HttpData body) implements LoadTarget {
    ToExecutor(ClientFactory factory, String address, LoadSettings settings) {
      this(
          clientOf(factory, address),
          RequestHeaders.builder(HttpMethod.POST, "/execute")
              .add(Headers.WORKSPACE, settings.workspace())
              .add(Headers.SERVICE, settings.service())
              .add(Headers.IDEMPOTENCY_KEY, "")
              .add("content-type", "application/octet-stream")
              .build(),
          bodyOf(settings));
    }

    @Override
    public CompletableFuture<Boolean> send(long number) {
      RequestHeaders numbered =
          headers.toBuilder().add(Headers.REQUEST_ID, "load-" + number).build();
      return client
          .execute(HttpRequest.of(numbered, body))
          .aggregate()
          .handle((answer, failure) -> failure == null && isComplete(answer));
    }

    private static boolean isComplete(AggregatedHttpResponse answer) {
      return answer.status().isSuccess() && answer.headers().contains(Headers.REQUEST_ID);
    }
  }

  private static WebClient clientOf(ClientFactory factory, String address) {
    return WebClient.builder("http://" + address).factory(factory).build();
  }

  private static HttpData bodyOf(LoadSettings settings) {
    return HttpData.wrap(new byte[settings.bodyBytes()]);
  }
}
