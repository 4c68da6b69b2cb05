package org.lavenderstage.entry.vm;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lavenderstage.clients.PlatformUnavailableException;
import org.lavenderstage.clients.VmList;
import org.lavenderstage.entry.duty.BackgroundThread;
import org.lavenderstage.wire.event.EventLog;
import org.lavenderstage.wire.event.LogEvent;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

/** The platform's VM list as last read. It is kept while the list cannot be read. */
public final class VmDirectory implements AutoCloseable {
  private final VmList list;
  private final long pollMillis;
  private volatile List<VmEntry> vms = List.of();
  private volatile boolean loaded;
  private BackgroundThread thread;

  /**
   * Creates an empty directory that does not read yet.
   *
   * @param list the platform's VM list
   * @param pollMillis time between two reads in milliseconds
   */
  public VmDirectory(VmList list, long pollMillis) {
    this.list = list;
    this.pollMillis = pollMillis;
  }

  /** Starts the thread that reads the list. */
  public void start() {
    thread = new BackgroundThread("vm-list", this::readOnce);
  }

  private void readOnce() throws InterruptedException {
    try {
      vms = List.copyOf(list.read());
      loaded = true;
    } catch (PlatformUnavailableException e) {
      EventLog.warn(LogEvent.VM_LIST_FAILED, "cause", e.getMessage());
    }
    TimeUnit.MILLISECONDS.sleep(pollMillis);
  }

  /**
   * Returns all VMs.
   *
   * @return the VMs as last read
   */
  public List<VmEntry> vms() {
    return vms;
  }

  /**
   * Returns the VMs of a role.
   *
   * @param role role of the VMs
   * @return the VMs as last read, including those about to be removed
   */
  public List<VmEntry> vms(VmRole role) {
    return vms.stream().filter(vm -> vm.role() == role).toList();
  }

  /**
   * Returns whether the directory may be used.
   *
   * @return whether the list was read at least once
   */
  public boolean isLoaded() {
    return loaded;
  }

  @Override
  public void close() {
    if (thread != null) {
      thread.close();
    }
  }
}
