package org.hornbeamspread.distribution;

import static com.google.common.truth.Truth.assertWithMessage;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaField;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kohsuke.args4j.Option;

/** Checks that docs/settings.md lists exactly the flags that the binaries accept. */
class SettingsPageTest {
    private static final Path PAGE = Path.of("../docs/settings.md");
    private static final Pattern ROW = Pattern.compile("(?m)^\\| `(--[a-z-]+)` \\|");
    private static final Set<String> COMMON_FLAGS = Set.of("--help", "--version");
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .importPackages(
                    "org.hornbeamspread.proxy",
                    "org.hornbeamspread.control",
                    "org.hornbeamspread.emulator",
                    "org.hornbeamspread.ctl",
                    "org.hornbeamspread.load");

    @ParameterizedTest
    @ValueSource(strings = {"proxy", "control", "emulator", "ctl", "load"})
    void thePageListsExactlyTheFlagsOfTheBinary(String binary) throws IOException {
        assertWithMessage("flags of hornbeamspread-%s", binary)
                .that(flagsOnPage(binary))
                .isEqualTo(flagsInCode(binary));
    }

    private static Set<String> flagsInCode(String binary) {
        String packageName = "org.hornbeamspread." + binary;
        Set<String> flags = new TreeSet<>();
        for (JavaClass type : CLASSES) {
            boolean belongsToBinary = type.getPackageName().equals(packageName)
                    || type.getPackageName().startsWith(packageName + ".");
            for (JavaField field : type.getFields()) {
                if (belongsToBinary && field.isAnnotatedWith(Option.class)) {
                    flags.add(field.getAnnotationOfType(Option.class).name());
                }
            }
        }
        flags.removeAll(COMMON_FLAGS);
        return flags;
    }

    private static Set<String> flagsOnPage(String binary) throws IOException {
        String page = Files.readString(PAGE);
        String heading = "\n## hornbeamspread-" + binary + "\n";
        int from = page.indexOf(heading);
        Set<String> flags = new TreeSet<>();
        if (from < 0) {
            return flags;
        }
        int to = page.indexOf("\n## ", from + heading.length());
        Matcher row = ROW.matcher(page.substring(from, to < 0 ? page.length() : to));
        while (row.find()) {
            flags.add(row.group(1));
        }
        return flags;
    }
}
