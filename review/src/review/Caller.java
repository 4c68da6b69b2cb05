package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer: sends one request on a channel of its own and waits for the answer. */
final class Caller {
  private static final int DEADLINE_MILLIS = 3_000;

  private final Transcript transcript;
  private final String host;
  private final String prefix;

  /** An answer; the status is 0 if none came in time. */
  record Answer(int status, String body) {
    boolean isSuccess() {
      return status >= 200 && status < 300;
    }

    boolean isState(String state) {
      return isSuccess() && body.contains("\"" + state + "\"");
    }
  }

  Caller(Transcript transcript, String host, String prefix) {
    this.transcript = transcript;
    this.host = host;
    this.prefix = prefix;
  }

  Answer submit(int port, String job, String body) {
    return call(port, "POST", job, body);
  }

  Answer state(int port, String job) {
    return call(port, "GET", job, "");
  }

  Answer cancel(int port, String job) {
    return call(port, "DELETE", job, "");
  }

  private Answer call(int port, String method, String job, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method + " " + prefix + job + " HTTP/1.1\r\nHost: " + host + "\r\nX-Deadline-Ms: "
            + DEADLINE_MILLIS + "\r\nConnection: close\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + content.length + "\r\n\r\n";
    Answer answer;
    long sentMillis = Transcript.nowMillis();
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(DEADLINE_MILLIS);
      socket.connect(new InetSocketAddress("127.0.0.1", port), DEADLINE_MILLIS);
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
      request.writeBytes(content);
      socket.getOutputStream().write(request.toByteArray());
      InputStream in = socket.getInputStream();
      String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      int bodyStart = text.indexOf("\r\n\r\n");
      answer =
          bodyStart < 0
              ? new Answer(0, "")
              : new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(bodyStart + 4));
    } catch (IOException e) {
      answer = new Answer(0, e.toString());
    }
    transcript.write(
        "caller",
        method + " " + prefix + job + " (" + content.length + " bytes) -> " + answer.status() + " "
            + answer.body().strip() + " after " + (Transcript.nowMillis() - sentMillis) + " ms");
    return answer;
  }

  /** Repeats a submission as the pages say, every second at most, until it is accepted. */
  boolean submitUntilAccepted(int[] ports, String job, String body, long untilMillis)
      throws InterruptedException {
    for (int i = 0; Transcript.nowMillis() < untilMillis; i++) {
      if (submit(ports[i % ports.length], job, body).isSuccess()) {
        return true;
      }
      Thread.sleep(1_000);
    }
    return false;
  }
}
