package org.lavenderstage.entry.job;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RehearsalCommandTest {
  @Test
  void entryOwnsJobsOfEmptyStore() throws Exception {
    assertTrue(RehearsalCommand.runEntry(List.of()));
  }
}
