package org.lavenderstage.entry.job;

import java.util.Optional;

/**
 * One process of an entry: its VM and when it started. The text form names it in messages and in
 * the store.
 *
 * @param vm name of the VM
 * @param startedMillis wall time of the start in milliseconds since 1970
 */
record Incarnation(String vm, long startedMillis) {
  private static final char SEPARATOR = '@';
  private static final int RADIX = 16;

  /** Reads the text form, empty where the text is none. */
  static Optional<Incarnation> parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return Optional.empty();
    }
    try {
      long started = Long.parseLong(text, separator + 1, text.length(), RADIX);
      return Optional.of(new Incarnation(text.substring(0, separator), started));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** Tells whether a text names a later process on the same VM. */
  boolean isBefore(String text) {
    return parse(text)
        .filter(other -> other.vm.equals(vm) && other.startedMillis > startedMillis)
        .isPresent();
  }

  @Override
  public String toString() {
    return vm + SEPARATOR + Long.toString(startedMillis, RADIX);
  }
}
