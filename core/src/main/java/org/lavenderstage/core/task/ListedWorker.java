package org.lavenderstage.core.task;

import org.lavenderstage.core.record.WorkerRegistered;

/**
 * A worker in the platform's list of VMs.
 *
 * @param registration the address, location and size of the worker
 * @param leaving whether the VM is about to be removed
 */
public record ListedWorker(WorkerRegistered registration, boolean leaving) {}
