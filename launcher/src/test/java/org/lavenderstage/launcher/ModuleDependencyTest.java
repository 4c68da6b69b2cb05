package org.lavenderstage.launcher;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

/** Checks that modules depend on each other in one direction only. */
class ModuleDependencyTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.lavenderstage");

  @Test
  void modulesDependInOneDirectionOnly() {
    ArchRule rule =
        layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("core")
            .definedBy("org.lavenderstage.core..")
            .layer("wire")
            .definedBy("org.lavenderstage.wire..")
            .layer("clients")
            .definedBy("org.lavenderstage.clients..")
            .layer("platform")
            .definedBy("org.lavenderstage.platform..")
            .layer("entry")
            .definedBy("org.lavenderstage.entry..")
            .layer("ctl")
            .definedBy("org.lavenderstage.ctl..")
            .layer("standin")
            .definedBy("org.lavenderstage.standin..")
            .layer("bench")
            .definedBy("org.lavenderstage.bench..")
            .layer("launcher")
            .definedBy("org.lavenderstage.launcher..")
            .whereLayer("launcher")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("entry")
            .mayOnlyBeAccessedByLayers("launcher")
            .whereLayer("ctl")
            .mayOnlyBeAccessedByLayers("launcher")
            .whereLayer("bench")
            .mayOnlyBeAccessedByLayers("launcher")
            .whereLayer("standin")
            .mayOnlyBeAccessedByLayers("launcher", "bench")
            .whereLayer("platform")
            .mayOnlyBeAccessedByLayers("entry")
            .whereLayer("clients")
            .mayOnlyBeAccessedByLayers("platform", "entry", "ctl", "standin", "launcher", "bench")
            .whereLayer("wire")
            .mayOnlyBeAccessedByLayers(
                "clients", "platform", "entry", "ctl", "standin", "bench", "launcher");
    rule.check(CLASSES);
  }
}
