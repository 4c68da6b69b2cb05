package org.lavenderstage.core.pool;

import java.util.Optional;
import java.util.Set;

/**
 * An owner's decision to renew the leases of an unresponsive worker no more. From the time at which
 * it is stored until a record of the worker without it is stored, no owner renews them.
 *
 * @param number number of the decision; those of later decisions, for any worker, are higher
 * @param sinceRenewalMillis least time from the last renewal to the decision, in milliseconds;
 *     negative if the worker may have granted a longer lease than the owner requests
 * @param mayRun identifiers of all tasks that may run on the worker, empty if they are not known
 */
record RenewalStop(long number, long sinceRenewalMillis, Optional<Set<String>> mayRun) {}
