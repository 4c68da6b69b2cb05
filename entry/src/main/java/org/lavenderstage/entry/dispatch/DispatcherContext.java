package org.lavenderstage.entry.dispatch;

import java.util.Optional;
import java.util.function.Function;
import org.lavenderstage.core.routing.SlotTiming;
import org.lavenderstage.entry.peer.SlotBoard;
import org.lavenderstage.entry.vm.VmDirectory;

/**
 * What the dispatcher needs to know of this entry and its peers.
 *
 * @param vm VM of this entry
 * @param incarnation incarnation of this entry
 * @param directory names the executors and the entries
 * @param board where the peers' feeds find this entry's slot state
 * @param peerAddress finds where a peer listens by its VM
 * @param timing times of the slot protocol
 * @param longestRequestNanos longest time for which an executor works on a request whose answer was
 *     lost, in nanoseconds
 */
public record DispatcherContext(
    String vm,
    String incarnation,
    VmDirectory directory,
    SlotBoard board,
    Function<String, Optional<String>> peerAddress,
    SlotTiming timing,
    long longestRequestNanos) {}
