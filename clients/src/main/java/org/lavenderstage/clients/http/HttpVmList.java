package org.lavenderstage.clients.http;

import java.time.Duration;
import java.util.List;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.VmList;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmPage;

/** Client of the platform's VM list over HTTP. */
public final class HttpVmList implements VmList {
  private final String address;
  private final HttpCalls calls;

  /**
   * Creates a client.
   *
   * @param address host and port of the list
   * @param timeout maximum time to wait for a response
   */
  public HttpVmList(String address, Duration timeout) {
    this.address = address;
    this.calls = new HttpCalls(timeout);
  }

  @Override
  public List<VmEntry> read() throws PlatformUnavailableException {
    return calls.get(address, "/vms", Duration.ZERO, VmPage.class).vms();
  }
}
