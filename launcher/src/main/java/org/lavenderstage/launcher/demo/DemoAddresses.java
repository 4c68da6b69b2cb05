package org.lavenderstage.launcher.demo;

import java.util.List;
import org.lavenderstage.entry.Entry;
import org.lavenderstage.entry.EntryAddresses;

/**
 * The addresses at which a deployment of the demo listens.
 *
 * @param name name of the deployment
 * @param log address of the fake log
 * @param vmList address of the fake VM list
 * @param entries addresses of the entries
 * @param callers workspaces of the callers, with their tokens
 */
record DemoAddresses(
    String name,
    String log,
    String vmList,
    List<EntryAddresses> entries,
    List<DemoSpec.Caller> callers) {
  static DemoAddresses of(DemoDeployment deployment) {
    return new DemoAddresses(
        deployment.spec().name(),
        deployment.logAddress(),
        deployment.vmListAddress(),
        deployment.entries().stream().map(Entry::addresses).toList(),
        deployment.spec().callers());
  }
}
