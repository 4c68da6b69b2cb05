package org.lavenderstage.entry.dispatch;

import java.util.Optional;
import java.util.function.Function;
import org.lavenderstage.core.routing.SlotTiming;
import org.lavenderstage.entry.peer.PublishedSlotState;
import org.lavenderstage.entry.vm.VmDirectory;

/**
 * The identity, the peers and the timing of the entry that a dispatcher runs in.
 *
 * @param vm VM of this entry
 * @param incarnation incarnation of this entry
 * @param directory directory of the VMs of executors and entries
 * @param slotState where this entry's slot state is published for its peers
 * @param peerAddress returns the address of a peer by its VM, or empty if it is unknown
 * @param timing times of the slot protocol
 * @param longestRequestNanos longest time for which an executor may work on a request whose answer
 *     was lost, in nanoseconds
 */
public record DispatcherContext(
    String vm,
    String incarnation,
    VmDirectory directory,
    PublishedSlotState slotState,
    Function<String, Optional<String>> peerAddress,
    SlotTiming timing,
    long longestRequestNanos) {}
