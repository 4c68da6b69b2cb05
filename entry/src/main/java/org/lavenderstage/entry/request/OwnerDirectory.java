package org.lavenderstage.entry.request;

import java.util.Optional;

/** Resolves the owner of a claim to the address of its peer link. */
@FunctionalInterface
public interface OwnerDirectory {
  /**
   * Finds the peer address of an entry.
   *
   * @param entry incarnation of the entry
   * @return host and port of its peer link, empty if the entry is not known to be live
   */
  Optional<String> peerAddress(String entry);
}
