package org.lavenderstage.entry.job;

/**
 * The owner of the jobs as known to an entry.
 *
 * @param term term of the owner, 0 if no owner is known
 * @param entry incarnation of the owner
 * @param address host and port of its peer link
 */
record OwnerView(long term, String entry, String address) {
  static final OwnerView NONE = new OwnerView(0, "", "");
}
