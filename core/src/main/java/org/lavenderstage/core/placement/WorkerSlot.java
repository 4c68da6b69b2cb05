package org.lavenderstage.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.lavenderstage.core.ledger.cell.WorkerState;

/** A worker as one plan sees it; the room shrinks as the plan grows. */
final class WorkerSlot {
  final WorkerState state;
  final String id;
  final String rack;
  final int[] services;
  final double[] rises;
  final double[] cautiousRises;
  final boolean quarantined;
  final List<TaskView> tasks = new ArrayList<>();
  int freeCpuMillis;
  int freeMemoryMb;
  int freeAccelerators;

  WorkerSlot(WorkerState state, int[] services, boolean quarantined) {
    this.state = state;
    this.id = state.registered().worker();
    this.rack = state.registered().rack();
    this.services = services;
    this.rises = new double[services.length];
    this.cautiousRises = new double[services.length];
    this.quarantined = quarantined;
    Resources free = state.free();
    freeCpuMillis = free.cpuMillis();
    freeMemoryMb = free.memoryMb();
    freeAccelerators = free.accelerators();
  }

  boolean hasRoomFor(Resources demand) {
    return demand.cpuMillis() <= freeCpuMillis
        && demand.memoryMb() <= freeMemoryMb
        && demand.accelerators() <= freeAccelerators;
  }

  void take(Resources demand) {
    freeCpuMillis -= demand.cpuMillis();
    freeMemoryMb -= demand.memoryMb();
    freeAccelerators -= demand.accelerators();
  }

  void giveBack(Resources demand) {
    freeCpuMillis += demand.cpuMillis();
    freeMemoryMb += demand.memoryMb();
    freeAccelerators += demand.accelerators();
  }

  /** Part of the processors that is free, from 0 to 1. */
  double freePart() {
    return (double) freeCpuMillis / Math.max(1, state.total().cpuMillis());
  }

  /** The largest expected rise among the services. */
  double rise() {
    double largest = 0;
    for (double rise : rises) {
      largest = Math.max(largest, rise);
    }
    return largest;
  }
}
