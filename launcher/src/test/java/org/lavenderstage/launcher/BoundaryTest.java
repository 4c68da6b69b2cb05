package org.lavenderstage.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks that names of the platform's interface occur only in its adapter, and that the adapter
 * makes no scheduling decisions.
 */
class BoundaryTest {
  private static final Pattern PLATFORM_NAMES =
      Pattern.compile(
          "run-start|run-stop|last_seen|fencing_token|log-append|log-read|log-newest"
              + "|max_per_server|long_running|depends_on|path_prefix|deadline_ms|clock_ms"
              + "|X-Expect-Instance|x-deadline-ms|\"keyed\\.|hold_max_ms|internal_ports",
          Pattern.CASE_INSENSITIVE);

  @Test
  void noOtherModuleUsesPlatformNames() throws IOException {
    Path root = Path.of(System.getProperty("repository.root"));
    List<String> found = new ArrayList<>();
    for (String module :
        List.of(
            "core", "http", "wire", "clients", "entry", "ctl", "standin", "bench", "launcher")) {
      try (Stream<Path> files = Files.walk(root.resolve(module).resolve("src/main"))) {
        for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
          if (PLATFORM_NAMES.matcher(Files.readString(file)).find()) {
            found.add(root.relativize(file).toString());
          }
        }
      }
    }
    assertEquals(List.of(), found);
  }

  /** The image of an entry on the platform has no Armeria, which its VMs are too small for. */
  @Test
  void theEntryOnThePlatformDoesNotUseArmeria() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAnyPackage(
            "org.lavenderstage.entry.job..",
            "org.lavenderstage.entry.peer..",
            "org.lavenderstage.entry.duty..",
            "org.lavenderstage.http..",
            "org.lavenderstage.platform..",
            "org.lavenderstage.core..",
            "org.lavenderstage.wire..")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("com.linecorp.armeria..")
        .check(
            new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.lavenderstage"));
  }

  @Test
  void theAdapterUsesNoSchedulerAndNoThreads() {
    ArchRuleDefinition.noClasses()
        .that()
        .resideInAPackage("org.lavenderstage.platform..")
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("org.lavenderstage.core.pool.JobScheduler")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(
            new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.lavenderstage.platform"));
  }
}
