package org.lavenderstage.entry.dispatch;

import org.lavenderstage.core.admission.RequestScheduler;
import org.lavenderstage.core.routing.SharedSlotsPolicy;
import org.lavenderstage.core.routing.SlotLending;

/**
 * The dispatcher's state for one service. Used by the dispatcher thread only.
 *
 * @param serviceName name of the service
 * @param policy policy that chooses the executors
 * @param scheduler scheduler of the requests
 * @param lending decisions on slot loans from and to peers
 */
record ServiceState(
    String serviceName,
    SharedSlotsPolicy policy,
    RequestScheduler<TrackedRequest> scheduler,
    SlotLending lending) {}
