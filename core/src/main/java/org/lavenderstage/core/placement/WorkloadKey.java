package org.lavenderstage.core.placement;

/**
 * Tasks that are alike: those of one workspace and batch class.
 *
 * @param workspace name of the workspace
 * @param batchClass name of the batch class
 */
public record WorkloadKey(String workspace, String batchClass) {}
