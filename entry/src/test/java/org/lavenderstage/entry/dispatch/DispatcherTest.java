package org.lavenderstage.entry.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lavenderstage.clients.ExecutorClient;
import org.lavenderstage.clients.http.HttpExecutorClient;
import org.lavenderstage.standin.executor.FakeExecutorServer;
import org.lavenderstage.standin.executor.RunLedger;
import org.lavenderstage.standin.fault.FaultSwitch;
import org.lavenderstage.wire.platform.VmEntry;
import org.lavenderstage.wire.platform.VmRole;

@Timeout(120)
class DispatcherTest {
  private static final int REQUESTS = 600;
  private static final int SLOTS = 8;
  private static final int SERVICE_MILLIS = 5;
  private static final int BODY_LIMIT = 1024;

  @Test
  void threeDispatchersTogetherNeverExceedTheSlotsOfAnExecutor() throws InterruptedException {
    AtomicReference<List<VmEntry>> vmList = new AtomicReference<>(List.of());
    List<FakeExecutorServer> fakes = new ArrayList<>();
    List<DispatcherNode> nodes = new ArrayList<>();
    try {
      List<VmEntry> vms = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        FakeExecutorServer fake =
            new FakeExecutorServer(0, SLOTS, SERVICE_MILLIS, new RunLedger(), new FaultSwitch(), i);
        fakes.add(fake);
        vms.add(executor("x" + i, fake.address()));
      }
      for (int i = 0; i < 3; i++) {
        DispatcherNode node =
            new DispatcherNode("vm" + i, vmList, new HttpExecutorClient(BODY_LIMIT));
        nodes.add(node);
        vms.add(node.vmEntry());
      }
      vmList.set(vms);
      nodes.forEach(DispatcherNode::start);
      awaitReady(nodes);
      List<CompletableFuture<DispatchResult>> results = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        results.add(nodes.get(i % 4 == 3 ? 0 : i % 3).submit(i));
      }
      results.forEach(CompletableFuture::join);
      for (FakeExecutorServer fake : fakes) {
        assertEquals(0, fake.record().overLimitRequests());
        assertTrue(fake.record().started() > 0);
      }
      for (CompletableFuture<DispatchResult> result : results) {
        DispatchResult end = result.join();
        assertInstanceOf(DispatchResult.Answered.class, end, end::toString);
      }
    } finally {
      nodes.forEach(DispatcherNode::close);
      fakes.forEach(FakeExecutorServer::close);
    }
  }

  @Test
  void answersEachRequestWhenItIsClosed() throws InterruptedException {
    ExecutorClient silent = (address, request, timeout) -> new CompletableFuture<>();
    DispatcherNode node =
        new DispatcherNode(
            "vm0", new AtomicReference<>(List.of(executor("x0", "127.0.0.1:1"))), silent);
    node.start();
    awaitReady(List.of(node));
    List<CompletableFuture<DispatchResult>> results = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      results.add(node.submit(i));
    }
    node.close();
    int lost = 0;
    for (CompletableFuture<DispatchResult> result : results) {
      assertTrue(result.isDone());
      lost += result.join() instanceof DispatchResult.Lost ? 1 : 0;
    }
    assertTrue(lost <= SLOTS);
  }

  private static void awaitReady(List<DispatcherNode> nodes) throws InterruptedException {
    while (!nodes.stream().allMatch(DispatcherNode::isReady)) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
  }

  private static VmEntry executor(String id, String address) {
    return new VmEntry(id, address, "d", "r", VmRole.EXECUTOR, false, 0, 0, 0, "s");
  }
}
