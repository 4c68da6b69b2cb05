package org.lavenderstage.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;

/** Creates the event loops that the clients and servers of a process share. */
public final class EventLoops {
  static {
    // Netty's default, SLF4J, consists of classes that cannot be archived, which slows the start.
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
  }

  private EventLoops() {}

  /**
   * Creates a group of one event loop with a daemon thread.
   *
   * @param name name of the thread
   * @return the group, to be shut down by the caller
   */
  public static EventLoopGroup create(String name) {
    return new MultiThreadIoEventLoopGroup(
        1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
  }

  /**
   * Starts to shut a group down; does not wait for the end.
   *
   * @param group the group
   */
  public static void shutDown(EventLoopGroup group) {
    Future<?> unused = group.shutdownGracefully();
  }
}
