package org.lavenderstage.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Checks that the deploy file uses only files that the build creates. */
class DeployFileTest {
  private static final Path ROOT = Path.of(System.getProperty("repository.root"));

  private static String text(String file) throws IOException {
    return Files.readString(ROOT.resolve(file));
  }

  @Test
  void everyFileUsedToStartAnEntryIsCreatedByTheBuild() throws IOException {
    String build = text("bin/build-image");
    List<String> missing =
        Pattern.compile("target/[a-z]+(\\.jsa)?")
            .matcher(text("deploy/system.toml"))
            .results()
            .map(MatchResult::group)
            .filter(file -> !build.contains(file))
            .toList();
    assertEquals(List.of(), missing);
  }

  @Test
  void anEntryStartsFromTheClassArchiveAndReadsNoTrustStore() throws IOException {
    String run = text("deploy/system.toml");
    assertTrue(run.contains("-XX:SharedArchiveFile=target/entry.jsa"));
    assertTrue(run.contains("-Djavax.net.ssl.trustStore=NONE"));
  }
}
