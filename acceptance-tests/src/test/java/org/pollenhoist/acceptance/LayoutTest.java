package org.pollenhoist.acceptance;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import java.time.LocalDateTime;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;

/** The layout that every change has to keep. */
class LayoutTest {

    private static final String[] PRODUCT = {
        "org.pollenhoist.common..",
        "org.pollenhoist.configuration..",
        "org.pollenhoist.settings..",
        "org.pollenhoist.limit..",
        "org.pollenhoist.routing..",
        "org.pollenhoist.placement..",
        "org.pollenhoist.request..",
        "org.pollenhoist.entry..",
        "org.pollenhoist.caller..",
        "org.pollenhoist.upstream..",
        "org.pollenhoist.platform..",
        "org.pollenhoist.operator..",
        "org.pollenhoist.vm..",
        "org.pollenhoist.serving..",
        "org.pollenhoist.platformadapter..",
        "org.pollenhoist.daemons..",
        "org.pollenhoist.commandline.."
    };

    private static final String[] TOOLS = {
        "org.pollenhoist.standins..", "org.pollenhoist.experiments..", "org.pollenhoist.acceptance.."
    };

    private static final String[] DECISIONS = {
        "org.pollenhoist.limit..",
        "org.pollenhoist.routing..",
        "org.pollenhoist.placement..",
        "org.pollenhoist.configuration..",
        "org.pollenhoist.request..",
        "org.pollenhoist.serving.limit..",
        "org.pollenhoist.serving.routing..",
        "org.pollenhoist.serving.placement.."
    };

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.pollenhoist");

    @Nested
    class Modules {

        @Test
        void should_not_depend_on_tools_when_they_are_the_product() {
            noClasses()
                    .that()
                    .resideInAnyPackage(PRODUCT)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(TOOLS)
                    .check(CLASSES);
        }

        @Test
        void should_not_depend_on_the_adapter_when_they_are_the_rest_of_the_product() {
            noClasses()
                    .that()
                    .resideInAnyPackage(PRODUCT)
                    .and()
                    .resideOutsideOfPackage("org.pollenhoist.platformadapter..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("org.pollenhoist.platformadapter..")
                    .check(CLASSES);
        }

        @Test
        void should_not_depend_on_the_product_when_they_are_stand_ins() {
            noClasses()
                    .that()
                    .resideInAnyPackage("org.pollenhoist.standins..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(PRODUCT)
                    .check(CLASSES);
        }

        @Test
        void should_belong_to_a_known_package_when_they_are_ours() {
            noClasses()
                    .that()
                    .resideInAPackage("org.pollenhoist..")
                    .should()
                    .resideOutsideOfPackages(allPackages())
                    .check(CLASSES);
        }

        private static String[] allPackages() {
            String[] all = new String[PRODUCT.length + TOOLS.length];
            System.arraycopy(PRODUCT, 0, all, 0, PRODUCT.length);
            System.arraycopy(TOOLS, 0, all, PRODUCT.length, TOOLS.length);
            return all;
        }
    }

    @Nested
    class Decisions {

        @Test
        void should_do_no_input_or_output_when_they_decide() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .and()
                    .doNotHaveFullyQualifiedName("org.pollenhoist.configuration.ConfigurationReader")
                    .should()
                    .dependOnClassesThat(
                            resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "io.netty..")
                                    .or(resideInAnyPackage("ratpack..")))
                    .check(CLASSES);
        }

        @Test
        void should_read_no_clock_when_they_decide() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISIONS)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(Instant.class, "now")
                    .orShould()
                    .callMethod(LocalDateTime.class, "now")
                    .orShould()
                    .callMethod(MonotonicTime.class, "read")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Clock.class)
                    .check(CLASSES);
        }
    }
}
