package review2;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The record of a case: what was sent, answered and run, a line each. Several processes append to the same file; each
 * line begins with the wall-clock time in milliseconds, so that a case can read it back in order.
 */
final class Record {
  private final Path file;

  Record(Path file) {
    this.file = file;
  }

  synchronized void line(String who, String what) {
    String line = System.currentTimeMillis() + " " + who + " " + what + "\n";
    try {
      Files.write(file, line.getBytes(StandardCharsets.UTF_8), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
