package loadbalancer;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.simpleName;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
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

/** Checks the dependencies between packages. */
class ArchitectureTest {
    private static final JavaClasses PRODUCTION_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("loadbalancer");

    /** Packages without I/O and threads, which take the time as a parameter. */
    private static final String[] PURE_PACKAGES = {
        "loadbalancer.balancing",
        "loadbalancer.membership",
        "loadbalancer.grpc.mapping",
        "loadbalancer.trace",
        "loadbalancer.zones",
        "loadbalancer.subset",
        "loadbalancer.gossip",
        "loadbalancer.simulation.accounting",
        "loadbalancer.consensus",
        "loadbalancer.control",
        "loadbalancer.metrics"
    };

    private static final String[] DECISION_PACKAGES = {
        "loadbalancer.balancing",
        "loadbalancer.settings",
        "loadbalancer.membership",
        "loadbalancer.zones",
        "loadbalancer.subset",
        "loadbalancer.gossip",
        "loadbalancer.consensus",
        "loadbalancer.control",
        "loadbalancer.trace",
        "loadbalancer.metrics",
        "loadbalancer.grpc.mapping"
    };

    private static final String[] EDGE_PACKAGES = {
        "loadbalancer.http1",
        "loadbalancer.grpc",
        "loadbalancer.membership.discovery",
        "loadbalancer.membership.disk",
        "loadbalancer.handover",
        "loadbalancer.admin",
        "loadbalancer.operator",
        "loadbalancer.trace.export"
    };

    private static final String[] TOOL_PACKAGES = {
        "loadbalancer.simulation..",
        "loadbalancer.testbed..",
        "loadbalancer.capacity",
        "loadbalancer.benchmark",
        "loadbalancer.trace.read",
        "loadbalancer.consensus.audit",
        "loadbalancer.cli"
    };

    @Test
    void purePackagesDoNoInputOrOutput() {
        noClasses()
                .that(resideInAnyPackage(PURE_PACKAGES))
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "io.netty..",
                        "java.net..",
                        "java.io..",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.util.concurrent..",
                        "java.time.."))
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void purePackagesUseNoThreadsAndNoClock() {
        noClasses()
                .that(resideInAnyPackage(PURE_PACKAGES))
                .should()
                .dependOnClassesThat(simpleName("Thread"))
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that(resideInAnyPackage(PURE_PACKAGES))
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(PRODUCTION_CLASSES);
        classes()
                .that(simpleName("Referee").or(simpleName("UpstreamModel")))
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.stream",
                        "loadbalancer.balancing",
                        "loadbalancer.testbed"))
                .check(PRODUCTION_CLASSES);
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("loadbalancer.(**)").should().beFreeOfCycles().check(PRODUCTION_CLASSES);
        // The decision module depends on no other package of the program.
        noClasses()
                .that(resideInAPackage("loadbalancer.balancing"))
                .should()
                .dependOnClassesThat(resideInAPackage("loadbalancer..").and(resideOutside("loadbalancer.balancing")))
                .check(PRODUCTION_CLASSES);
    }

    /**
     * The layers of docs/ARCHITECTURE.md: a package may import its own layer and those above it in the table
     * there.
     */
    @Test
    void packagesImportNoLayerBelowTheirOwn() {
        layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("loadbalancer..")
                .layer("formats")
                .definedBy("loadbalancer.json", "loadbalancer.toml", "loadbalancer.storage")
                .layer("decisions")
                .definedBy(DECISION_PACKAGES)
                .layer("core")
                .definedBy("loadbalancer.core")
                .layer("edges")
                .definedBy(EDGE_PACKAGES)
                .layer("processes")
                .definedBy("loadbalancer.sidecar", "loadbalancer.control.server", "loadbalancer.wire")
                .layer("tools")
                .definedBy(TOOL_PACKAGES)
                .whereLayer("formats")
                .mayNotAccessAnyLayer()
                .whereLayer("decisions")
                .mayOnlyAccessLayers("formats")
                .whereLayer("core")
                .mayOnlyAccessLayers("formats", "decisions")
                .whereLayer("edges")
                .mayOnlyAccessLayers("formats", "decisions", "core")
                .whereLayer("processes")
                .mayOnlyAccessLayers("formats", "decisions", "core", "edges")
                .ensureAllClassesAreContainedInArchitecture()
                .check(PRODUCTION_CLASSES);
    }

    /** Classes that serve requests must not reach the testbed, the simulation or the capacity tools. */
    @Test
    void sidecarReachesNoTestbedOrSimulation() {
        Set<JavaClass> reached = new HashSet<>();
        collectReached(PRODUCTION_CLASSES.get("loadbalancer.sidecar.SidecarMain"), reached);
        collectReached(PRODUCTION_CLASSES.get("loadbalancer.sidecar.Sidecar"), reached);
        assertEquals(
                Set.of(),
                reached.stream()
                        .map(JavaClass::getPackageName)
                        .filter(name -> name.startsWith("loadbalancer.testbed")
                                || name.startsWith("loadbalancer.simulation")
                                || name.startsWith("loadbalancer.capacity"))
                        .collect(Collectors.toSet()));
        noClasses()
                .that(resideOutside(
                        "loadbalancer.testbed",
                        "loadbalancer.testbed.fleet",
                        "loadbalancer.cli",
                        "loadbalancer.benchmark",
                        "loadbalancer.simulation"))
                .should()
                .dependOnClassesThat(resideInAPackage("loadbalancer.testbed.."))
                .check(PRODUCTION_CLASSES);
    }

    /** HTTP/1.1 and gRPC share the core, which must depend on neither protocol. */
    @Test
    void coreDependsOnNoProtocol() {
        noClasses()
                .that(resideInAPackage("loadbalancer.core"))
                .should()
                .dependOnClassesThat(resideInAnyPackage("io.netty.handler..", "loadbalancer.http1.."))
                .check(PRODUCTION_CLASSES);
    }

    /**
     * Optional libraries are used only in the packages made for them, so that a sidecar without traces loads
     * nothing of the exporter.
     */
    @Test
    void optionalLibrariesAreUsedOnlyInTheirOwnPackages() {
        noClasses()
                .that(resideOutside("loadbalancer.trace.export"))
                .should()
                .dependOnClassesThat(resideInAPackage("io.opentelemetry.."))
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that(resideOutside("loadbalancer.trace.export")
                        .and(DescribedPredicate.not(simpleName("TracingSetup"))))
                .should()
                .dependOnClassesThat(resideInAPackage("loadbalancer.trace.export"))
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that(resideOutside("loadbalancer.cli", "loadbalancer.trace.read"))
                .should()
                .dependOnClassesThat(resideInAPackage("picocli.."))
                .check(PRODUCTION_CLASSES);
        noClasses()
                .that(DescribedPredicate.not(resideInAPackage("loadbalancer.simulation..")))
                .should()
                .dependOnClassesThat(resideInAnyPackage("org.apache.commons.rng..", "org.jfree..", "java.awt.."))
                .check(PRODUCTION_CLASSES);
    }

    private static DescribedPredicate<JavaClass> resideOutside(String... packages) {
        return DescribedPredicate.not(resideInAnyPackage(packages));
    }

    private static void collectReached(JavaClass from, Set<JavaClass> reached) {
        if (from.getPackageName().startsWith("loadbalancer") && reached.add(from)) {
            from.getDirectDependenciesFromSelf()
                    .forEach(dependency -> collectReached(dependency.getTargetClass(), reached));
        }
    }
}
