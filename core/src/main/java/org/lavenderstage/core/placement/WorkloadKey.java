package org.lavenderstage.core.placement;

/**
 * Identifies a workload: the tasks of one workspace and batch class, which are expected to behave
 * alike.
 *
 * @param workspace name of the workspace
 * @param batchClass name of the batch class
 */
public record WorkloadKey(String workspace, String batchClass) {}
