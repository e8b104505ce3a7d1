package org.hornbeamspread.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The core module depends on the JDK and small libraries only, and uses no threads, sockets, files or wall clock. */
@AnalyzeClasses(packages = "org.hornbeamspread", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
    @ArchTest
    static final ArchRule DEPENDS_ON_NOTHING_OUTSIDE = classes()
            .that()
            .resideInAPackage("org.hornbeamspread.core..")
            .should()
            .onlyDependOnClassesThat()
            .resideInAnyPackage(
                    "org.hornbeamspread.core..", "java..", "com.google.common..", "com.google.errorprone..");

    @ArchTest
    static final ArchRule NO_THREADS_SOCKETS_OR_FILES = noClasses()
            .that()
            .resideInAPackage("org.hornbeamspread.core..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..")
            .orShould()
            .dependOnClassesThat()
            .belongToAnyOf(Thread.class, java.io.File.class);

    @ArchTest
    static final ArchRule NO_WALL_CLOCK = noClasses()
            .that()
            .resideInAPackage("org.hornbeamspread.core..")
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(java.time.Instant.class, "now");
}
