package org.lavenderstage.entry.dispatch;

import org.lavenderstage.core.admission.RequestScheduler;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotLending;

/**
 * What the dispatching thread keeps for one service.
 *
 * @param name name of the service
 * @param policy chooses executors
 * @param scheduler orders and places requests
 * @param lending asks peers for slots
 */
record ServiceState(
    String name,
    SharedSlotsPolicy policy,
    RequestScheduler<TrackedRequest> scheduler,
    SlotLending lending) {}
