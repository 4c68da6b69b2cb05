package org.lavenderstage.clients.http;

import java.time.Duration;
import org.lavenderstage.clients.Log;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.wire.platform.AppendAnswer;
import org.lavenderstage.wire.platform.AppendBody;
import org.lavenderstage.wire.platform.LogPage;

/** Client of the platform's log over HTTP. */
public final class HttpLog implements Log {
  private final String address;
  private final HttpCalls calls;

  /**
   * Creates a client.
   *
   * @param address host and port of the log
   * @param timeout maximum time to wait for a response, in addition to the wait that a read asks
   *     for
   */
  public HttpLog(String address, Duration timeout) {
    this.address = address;
    this.calls = new HttpCalls(timeout);
  }

  @Override
  public long append(String stream, byte[] bytes) throws PlatformUnavailableException {
    return calls
        .post(address, "/streams/" + stream, new AppendBody(bytes), AppendAnswer.class)
        .offset();
  }

  @Override
  public LogPage read(String stream, long fromOffset, int max, Duration wait)
      throws PlatformUnavailableException {
    String path =
        "/streams/" + stream + "?from=" + fromOffset + "&max=" + max + "&wait=" + wait.toMillis();
    return calls.get(address, path, wait, LogPage.class);
  }
}
