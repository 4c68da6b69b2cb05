package org.lavenderstage.core.ledger.claim;

/**
 * Identifies a non-idempotent request.
 *
 * @param workspace workspace of the caller
 * @param key idempotency key of the request
 */
public record RequestKey(String workspace, String key) implements Comparable<RequestKey> {
  @Override
  public int compareTo(RequestKey other) {
    int byWorkspace = workspace.compareTo(other.workspace);
    return byWorkspace != 0 ? byWorkspace : key.compareTo(other.key);
  }
}
