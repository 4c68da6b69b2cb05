package org.lavenderstage.ctl;

import com.linecorp.armeria.client.WebClient;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;

/** HTTP client of one entry, for either its caller port or its admin port. */
final class EntryClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final long MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

  private final String address;
  private final WebClient client;

  EntryClient(String address) {
    this.address = address;
    this.client =
        WebClient.builder("http://" + address)
            .responseTimeout(TIMEOUT)
            .maxResponseLength(MAX_RESPONSE_BYTES)
            .build();
  }

  String address() {
    return address;
  }

  /** Returns the entry's state dump as JSON text. */
  String dump() throws PlatformUnavailableException {
    return call(RequestHeaders.of(HttpMethod.GET, "/state"), HttpStatus.OK).contentUtf8();
  }

  /** Returns the part of the entry's state dump that the commands use. */
  EntryView view() throws PlatformUnavailableException {
    AggregatedHttpResponse response =
        call(RequestHeaders.of(HttpMethod.GET, "/state"), HttpStatus.OK);
    try {
      return JsonCodec.decode(response.content().array(), EntryView.class);
    } catch (MalformedMessageException e) {
      throw new PlatformUnavailableException(address + " gave no dump", e);
    }
  }

  /** Tells the entry to drain; returns without waiting for it. */
  void drain() throws PlatformUnavailableException {
    call(RequestHeaders.of(HttpMethod.POST, "/drain"), HttpStatus.ACCEPTED);
  }

  /** Returns the state of a job as JSON text. */
  String job(String workspace, String token, String job) throws PlatformUnavailableException {
    String path = "/v1/workspaces/" + workspace + "/jobs/" + job;
    RequestHeaders headers =
        RequestHeaders.builder(HttpMethod.GET, path)
            .add("authorization", "Bearer " + token)
            .build();
    return call(headers, HttpStatus.OK).contentUtf8();
  }

  private AggregatedHttpResponse call(RequestHeaders headers, HttpStatus expected)
      throws PlatformUnavailableException {
    try {
      AggregatedHttpResponse response = client.execute(HttpRequest.of(headers)).aggregate().get();
      if (!response.status().equals(expected)) {
        throw new PlatformUnavailableException(
            address + " answered " + response.status() + " " + response.contentUtf8().strip(),
            null);
      }
      return response;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new PlatformUnavailableException("interrupted", e);
    } catch (ExecutionException e) {
      throw new PlatformUnavailableException(address + " gave no answer", e);
    }
  }
}
