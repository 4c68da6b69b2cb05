package org.lavenderstage.core.sheet;

/**
 * A batch class as the sheet declares it.
 *
 * @param name name of the class
 * @param rank rank; jobs of a lower rank are placed first
 * @param share weight among classes of the same rank
 */
public record BatchClassRow(String name, int rank, int share) {}
