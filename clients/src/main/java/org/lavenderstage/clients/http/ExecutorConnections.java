package org.lavenderstage.clients.http;

import com.linecorp.armeria.client.ClientFactory;
import com.linecorp.armeria.client.WebClient;
import java.util.concurrent.CompletableFuture;

/**
 * Connections to one executor, each with at most one request in flight. They are retired after a
 * mismatched response: new requests use new connections. A factory dedicated to this executor is
 * closed after its last request; retired connections of a shared factory are never used again.
 */
final class ExecutorConnections {
  private final ClientFactory factory;
  private final boolean sharedFactory;
  private final WebClient client;
  private int inFlight;
  private boolean retired;

  ExecutorConnections(
      String address, long bodyLimitBytes, ClientFactory factory, boolean sharedFactory) {
    this.factory = factory;
    this.sharedFactory = sharedFactory;
    this.client =
        WebClient.builder("h1c://" + address)
            .factory(factory)
            .maxResponseLength(bodyLimitBytes)
            .build();
  }

  WebClient client() {
    return client;
  }

  /** Registers a request; returns false if the connections are retired. */
  synchronized boolean acquire() {
    if (retired) {
      return false;
    }
    inFlight++;
    return true;
  }

  synchronized void release() {
    inFlight--;
    closeWhenIdle();
  }

  synchronized void retire() {
    retired = true;
    closeWhenIdle();
  }

  private void closeWhenIdle() {
    if (retired && inFlight == 0 && !sharedFactory) {
      CompletableFuture<?> unused = factory.closeAsync();
    }
  }
}
