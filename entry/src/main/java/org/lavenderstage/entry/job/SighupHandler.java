package org.lavenderstage.entry.job;

import java.lang.reflect.Proxy;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;

/** Prevents SIGHUP, with which the platform announces new settings, from ending the process. */
final class SighupHandler {
  private SighupHandler() {}

  /**
   * Installs a handler that ignores the signal. The classes are loaded by name, since the compiler
   * warns about any use of them.
   */
  static void ignore() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object ignoring =
          Proxy.newProxyInstance(
              handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> null);
      signal
          .getMethod("handle", signal, handler)
          .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ignoring);
    } catch (ReflectiveOperationException e) {
      EventLog.warn(LogEvent.SETTING_REFUSED, "signal", "HUP", "cause", e);
    }
  }
}
