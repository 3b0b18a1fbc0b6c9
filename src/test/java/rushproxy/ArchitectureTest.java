package rushproxy;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.simpleName;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** What must hold of the packages whatever is built next. */
class ArchitectureTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("rushproxy");

    /** Packages that decide: no I/O, no threads, time as a parameter. */
    private static final String[] PURE = {
        "rushproxy",
        "rushproxy.membership",
        "rushproxy.grpc.mapping",
        "rushproxy.trace",
        "rushproxy.zones",
        "rushproxy.subset",
        "rushproxy.fleet",
        "rushproxy.fleet.account",
        "rushproxy.consensus",
        "rushproxy.control",
        "rushproxy.figures"
    };

    @Test
    void whatDecidesDoesNoInputOrOutput() {
        noClasses()
                .that(resideInAnyPackage(PURE))
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.io..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "java.time.."))
                .check(PROGRAM);
    }

    @Test
    void whatDecidesHasNoThreadsAndNoClock() {
        noClasses()
                .that(resideInAnyPackage(PURE))
                .should()
                .dependOnClassesThat(simpleName("Thread"))
                .check(PROGRAM);
        noClasses()
                .that(resideInAnyPackage(PURE))
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(PROGRAM);
        classes()
                .that(simpleName("Referee").or(simpleName("NodeModel")))
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "rushproxy",
                        "rushproxy.standin"))
                .check(PROGRAM);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("rushproxy.(**)").should().beFreeOfCycles().check(PROGRAM);
        // The module's own package is in no slice: it may know none of the others.
        noClasses()
                .that(resideInAPackage("rushproxy"))
                .should()
                .dependOnClassesThat(resideInAPackage("rushproxy.*.."))
                .check(PROGRAM);
    }

    /** What serves must not even be able to load the stage. */
    @Test
    void servingNeverReachesTheStage() {
        Set<JavaClass> reached = new HashSet<>();
        reach(PROGRAM.get("rushproxy.sidecar.Sidecar"), reached);
        assertEquals(
                Set.of(),
                reached.stream()
                        .map(JavaClass::getPackageName)
                        .filter(p -> p.startsWith("rushproxy.standin")
                                || p.startsWith("rushproxy.lab")
                                || p.startsWith("rushproxy.scale"))
                        .collect(Collectors.toSet()));
        noClasses()
                .that(resideOutside(
                        "rushproxy.standin",
                        "rushproxy.standin.fleet",
                        "rushproxy.cli",
                        "rushproxy.measure",
                        "rushproxy.lab"))
                .should()
                .dependOnClassesThat(resideInAPackage("rushproxy.standin.."))
                .check(PROGRAM);
    }

    /** The second protocol meets the first in the core: that one knows neither. */
    @Test
    void theCoreKnowsNoProtocol() {
        noClasses()
                .that(resideInAPackage("rushproxy.core"))
                .should()
                .dependOnClassesThat(resideInAnyPackage("io.netty.handler..", "rushproxy.http1.."))
                .check(PROGRAM);
    }

    /** One place reaches the exporter's library, so that a sidecar without traces loads none of it. */
    @Test
    void whatIsOffIsNotReached() {
        noClasses()
                .that(resideOutside("rushproxy.trace.export"))
                .should()
                .dependOnClassesThat(resideInAPackage("io.opentelemetry.."))
                .check(PROGRAM);
        noClasses()
                .that(resideOutside("rushproxy.trace.export").and(DescribedPredicate.not(simpleName("Tracing"))))
                .should()
                .dependOnClassesThat(resideInAPackage("rushproxy.trace.export"))
                .check(PROGRAM);
        noClasses()
                .that(resideOutside("rushproxy.cli", "rushproxy.trace.read"))
                .should()
                .dependOnClassesThat(resideInAPackage("picocli.."))
                .check(PROGRAM);
        noClasses()
                .that(DescribedPredicate.not(resideInAPackage("rushproxy.lab..")))
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.apache.commons.rng..", "org.jfree..", "java.awt.."))
                .check(PROGRAM);
    }

    private static DescribedPredicate<JavaClass> resideOutside(String... packages) {
        return DescribedPredicate.not(resideInAnyPackage(packages));
    }

    private static void reach(JavaClass from, Set<JavaClass> reached) {
        if (from.getPackageName().startsWith("rushproxy") && reached.add(from)) {
            from.getDirectDependenciesFromSelf().forEach(d -> reach(d.getTargetClass(), reached));
        }
    }
}
