package org.lavenderstage.core.task;

import org.lavenderstage.core.record.WorkerRegistered;

/**
 * A worker as the platform's list of VMs has it.
 *
 * @param registration address, place and size
 * @param leaving whether the VM is about to leave
 */
public record ListedWorker(WorkerRegistered registration, boolean leaving) {}
