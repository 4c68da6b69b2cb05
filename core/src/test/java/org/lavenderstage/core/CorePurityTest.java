package org.lavenderstage.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks that the core uses no I/O, threads, clock or third-party libraries. */
class CorePurityTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.lavenderstage.core");

  @Test
  void dependsOnlyOnJavaPlatform() {
    ArchRule rule =
        classes()
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage("org.lavenderstage.core..", "java..");
    rule.check(CLASSES);
  }

  @Test
  void doesNoInputOrOutput() {
    ArchRule rule =
        noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "java.io..", "java.nio.file..", "java.nio.channels..", "java.net..");
    rule.check(CLASSES);
  }

  @Test
  void startsNoThreads() {
    ArchRule rule =
        noClasses().should().dependOnClassesThat().resideInAnyPackage("java.util.concurrent..");
    rule.check(CLASSES);
  }

  @Test
  void readsNoClock() {
    ArchRule rule =
        noClasses()
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.time.Clock")
            .orShould()
            .dependOnClassesThat()
            .areAssignableTo(Thread.class);
    rule.check(CLASSES);
  }
}
