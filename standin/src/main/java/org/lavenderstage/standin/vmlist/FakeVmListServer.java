package org.lavenderstage.standin.vmlist;

import com.linecorp.armeria.common.HttpMethod;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.util.ArrayList;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.lavenderstage.standin.FakeServer;
import org.lavenderstage.standin.fault.FaultInjector;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.codec.JsonCodec;
import org.lavenderstage.wire.codec.MalformedMessageException;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmPage;

/** Fake of the platform's VM list: POST adds or replaces a VM, DELETE removes one. */
public final class FakeVmListServer implements AutoCloseable {
  private final Map<String, VmEntry> vms = new ConcurrentSkipListMap<>();
  private final FakeServer server;
  private final FaultInjector faultInjector;

  /**
   * Starts the server.
   *
   * @param port port to listen on, 0 for any free port
   * @param faults faults to inject
   */
  public FakeVmListServer(int port, FaultSwitch faults) {
    faultInjector = new FaultInjector(faults, 0);
    server =
        FakeServer.start(
            FakeServer.builder(port, faults)
                .service("/vms", FakeServer.json(this::handle))
                .service("/vms/{id}", FakeServer.json(this::handle)));
  }

  private Object handle(ServiceRequestContext context, byte[] body)
      throws MalformedMessageException {
    if (context.method() == HttpMethod.POST) {
      put(JsonCodec.decode(body, VmEntry.class));
    } else if (context.method() == HttpMethod.DELETE) {
      remove(Optional.ofNullable(context.pathParam("id")).orElse(""));
    }
    return faultInjector.pass(() -> new VmPage(new ArrayList<>(vms.values())));
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
   * Returns the address at which the server listens.
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
