package org.hornbeamspread.runtime;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.transport.AddressTranslator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Endpoint lists and address maps are parsed; a file that is missing or malformed is refused. */
final class EndpointSettingsTest {
    @TempDir
    private Path directory;

    @ParameterizedTest
    @CsvSource({"'10.0.0.1:7,10.0.0.2:8', 2", "' 10.0.0.1:7 , ', 1", "'', 0"})
    void blankListItemsAreSkipped(String value, int expectedSize) {
        assertThat(EndpointSettings.parseList(value)).hasSize(expectedSize);
    }

    @Test
    void onlyMappedAddressesAreTranslated() throws IOException {
        AddressTranslator translator = EndpointSettings.readAddressMap(writeAddressMap("10.0.0.1:7 = 127.0.0.1:9\n\n"));
        assertThat(translator.translate(AddressTranslator.parse("10.0.0.1:7")).getPort())
                .isEqualTo(9);
        assertThat(translator.translate(AddressTranslator.parse("10.0.0.2:7")).getPort())
                .isEqualTo(7);
    }

    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:7", "10.0.0.1=127.0.0.1:9", "10.0.0.1:7=127.0.0.1:99999"})
    void aMalformedLineIsRefusedAndTheFileNamed(String line) throws IOException {
        String file = writeAddressMap(line);
        FailureException failure = assertThrows(FailureException.class, () -> EndpointSettings.readAddressMap(file));
        assertThat(failure.type()).isEqualTo(FailureType.INVALID_SETTING);
        assertThat(failure.detail()).contains(file);
    }

    @Test
    void aMissingAddressMapIsRefused() {
        String file = directory.resolve("absent").toString();
        assertThat(assertThrows(FailureException.class, () -> EndpointSettings.readAddressMap(file))
                        .type())
                .isEqualTo(FailureType.INVALID_SETTING);
    }

    private String writeAddressMap(String text) throws IOException {
        return Files.writeString(directory.resolve("map"), text).toString();
    }
}
