package org.lavenderstage.entry.request;

import java.util.Optional;

/** Finds the entry that owns a claim. */
@FunctionalInterface
public interface OwnerDirectory {
  /**
   * Finds the peer link of an entry.
   *
   * @param entry incarnation of the entry
   * @return host and port of its peer link, empty where it is not known to live
   */
  Optional<String> peerAddress(String entry);
}
