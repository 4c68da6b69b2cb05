package org.lavenderstage.clients;

import java.util.List;
import org.lavenderstage.wire.platform.VmEntry;

/** The platform's list of VMs, including those about to be removed. It may be out of date. */
@FunctionalInterface
public interface VmList {
  /**
   * Reads the list.
   *
   * @return all VMs on the list
   * @throws PlatformUnavailableException if no valid response arrived
   */
  List<VmEntry> read() throws PlatformUnavailableException;
}
