import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since the start. */
final class Notes {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Notes(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String what) {
    out.println(String.format("%7d %s", millis(), what));
    out.flush();
  }

  /** Notes something, and shows it. */
  void say(String what) {
    System.out.println(what);
    add(what);
  }
}
