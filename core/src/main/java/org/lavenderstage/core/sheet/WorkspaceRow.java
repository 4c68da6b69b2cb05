package org.lavenderstage.core.sheet;

import org.lavenderstage.core.placement.Resources;

/**
 * A workspace as the sheet declares it.
 *
 * @param name name of the workspace
 * @param rank rank; a lower rank is served first
 * @param share weight among workspaces of the same rank
 * @param quota maximum resources that its tasks may have allocated at one time
 * @param tokenSha256 SHA-256 of its bearer token in hexadecimal digits
 */
public record WorkspaceRow(String name, int rank, int share, Resources quota, String tokenSha256) {}
