package org.lavenderstage.entry.job;

import java.util.Optional;

/**
 * Identifies one process of an entry by its VM and start time. Messages and stored records contain
 * the text form.
 *
 * @param vm name of the VM
 * @param startedMillis wall-clock time of the start in milliseconds since 1970
 */
record Incarnation(String vm, long startedMillis) {
  private static final char SEPARATOR = '@';
  private static final int RADIX = 16;

  /** Parses the text form; returns empty if the text is malformed. */
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

  /** Returns whether a text form identifies a later process on the same VM. */
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
