package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start of the case. Thread-safe. */
final class Transcript implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();

  private final PrintWriter out;

  Transcript(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the time since the start of the case, in milliseconds. */
  static long nowMillis() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  synchronized void write(String who, String what) {
    out.printf("%8.3f %-10s %s%n", nowMillis() / 1_000.0, who, what);
  }

  /** Writes a line and shows it on standard output. */
  void note(String what) {
    write("case", what);
    System.out.printf("%8.3f %s%n", nowMillis() / 1_000.0, what);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
