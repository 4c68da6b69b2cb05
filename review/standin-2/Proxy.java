package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A TCP proxy before one server. It can make the channels that are open go silent for good, without a reset; it can
 * reset all channels and refuse new ones for a while; and it can keep a server's limit of open channels.
 */
final class Proxy implements AutoCloseable {
  private static final class Channel {
    final Socket inner;
    final Socket outer;
    volatile boolean silent;

    Channel(Socket inner, Socket outer) {
      this.inner = inner;
      this.outer = outer;
    }
  }

  private final ServerSocket listener;
  private final int targetPort;
  private final Set<Channel> channels = ConcurrentHashMap.newKeySet();
  private final int maxChannels;
  private volatile long refusedUntilNanos = System.nanoTime();
  private final AtomicInteger refused = new AtomicInteger();

  Proxy(int targetPort) throws IOException {
    this(targetPort, Integer.MAX_VALUE);
  }

  /** Creates a proxy that closes each channel that would be one more than the server takes. */
  Proxy(int targetPort, int maxChannels) throws IOException {
    this.targetPort = targetPort;
    this.maxChannels = maxChannels;
    listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    Thread.ofPlatform().daemon().start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Makes all open channels silent: from now on they pass nothing in either direction. Returns their number. */
  int silence() {
    channels.forEach(channel -> channel.silent = true);
    return channels.size();
  }

  /** Resets all channels, and refuses new ones for a time. */
  void refuse(long millis) {
    refusedUntilNanos = System.nanoTime() + millis * 1_000_000;
    channels.forEach(
        channel -> {
          close(channel.inner);
          close(channel.outer);
        });
  }

  int openChannels() {
    return channels.size();
  }

  /** Returns how many channels were closed since they were one more than the server takes. */
  int refusedChannels() {
    return refused.get();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket outer = listener.accept();
        if (System.nanoTime() < refusedUntilNanos) {
          outer.close();
          continue;
        }
        if (channels.size() >= maxChannels) {
          refused.incrementAndGet();
          outer.close();
          continue;
        }
        outer.setTcpNoDelay(true);
        Socket inner = new Socket();
        try {
          inner.setTcpNoDelay(true);
          inner.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), targetPort), 1_000);
        } catch (IOException e) {
          outer.close();
          continue;
        }
        Channel channel = new Channel(inner, outer);
        channels.add(channel);
        Thread.ofPlatform().daemon().start(() -> pass(channel, channel.outer, channel.inner));
        Thread.ofPlatform().daemon().start(() -> pass(channel, channel.inner, channel.outer));
      } catch (IOException e) {
        // closed, or one channel failed
      }
    }
  }

  private void pass(Channel channel, Socket from, Socket to) {
    byte[] buffer = new byte[65_536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count;
      while ((count = in.read(buffer)) >= 0) {
        if (!channel.silent) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // the channel ends below
    }
    if (channel.silent && from == channel.inner) {
      return; // the end of a silent channel is not passed on to the entry either
    }
    channels.remove(channel);
    close(channel.inner);
    close(channel.outer);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // it is discarded anyway
    }
  }

  @Override
  public void close() {
    try {
      listener.close();
    } catch (IOException e) {
      // the process ends
    }
  }
}
