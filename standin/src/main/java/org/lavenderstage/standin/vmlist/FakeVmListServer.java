package org.lavenderstage.standin.vmlist;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultGate;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmPage;

/** The platform's list of VMs, changed by calls: POST adds or replaces a VM, DELETE removes one. */
public final class FakeVmListServer implements AutoCloseable {
  private final Map<String, VmEntry> vms = new ConcurrentSkipListMap<>();
  private final FakeServer server;
  private final FaultGate gate;

  /**
   * Starts the server.
   *
   * @param port the port, 0 for a free one
   * @param faults the faults
   */
  public FakeVmListServer(int port, FaultSwitch faults) {
    gate = new FaultGate(faults, 0);
    server =
        FakeServer.start(
            FakeServer.builder(port, faults)
                .service("/vms", FakeServer.json(this::answer))
                .service("/vms/{id}", FakeServer.json(this::answer)));
  }

  private Object answer(ServiceRequestContext context, byte[] body)
      throws MalformedMessageException {
    if (context.method() == HttpMethod.POST) {
      put(JsonCodec.decode(body, VmEntry.class));
    } else if (context.method() == HttpMethod.DELETE) {
      remove(Optional.ofNullable(context.pathParam("id")).orElse(""));
    }
    return gate.pass(() -> new VmPage(new ArrayList<>(vms.values())));
  }

  /**
   * Adds or replaces a VM.
   *
   * @param vm the VM
   */
  public void put(VmEntry vm) {
    vms.put(vm.id(), vm);
  }

  /**
   * Removes a VM.
   *
   * @param id identifier of the VM
   */
  public void remove(String id) {
    vms.remove(id);
  }

  /**
   * Returns where the server listens.
   *
   * @return host and port
   */
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }
}
