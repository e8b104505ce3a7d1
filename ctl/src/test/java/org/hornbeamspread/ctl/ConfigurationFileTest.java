package org.hornbeamspread.ctl;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Configuration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A valid group file is read completely; an invalid one is refused with the line and the reason. */
class ConfigurationFileTest {
    @ParameterizedTest
    @CsvSource({"entoto,rental-core,5,35", "ujaas,ledger,2,30"})
    void exampleConfigurationsAreRead(String user, String service, int slots, int connections) {
        Configuration configuration = ConfigurationFile.read(Path.of("../examples/" + user + ".json"));
        assertThat(configuration.getServices(0).getName()).isEqualTo(service);
        assertThat(configuration.getRanksCount()).isEqualTo(3);
        assertThat(configuration.getGroupsCount()).isEqualTo(3);
        assertThat(configuration.getGroups(0).getDatabases()).isEqualTo(3);
        assertThat(configuration.getGroups(0).getSlotsPerDatabase()).isEqualTo(slots);
        assertThat(configuration.getGroups(0).getConnectionsPerDatabase()).isEqualTo(connections);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"ranks\": [~{\"name\": \"urgent\",~\"colour\": 1}]}|file:3: |colour",
                "{\"ranks\": [~{\"targetMs\": \"soon\"}]}|file:2: |soon",
                "{\"ranks\": [~{\"targetMs\": 1~|file:3: |line"
            })
    void anInvalidFileIsRefusedWithLineAndReason(String text, String lineOfError, String reason) {
        FailureException failure =
                assertThrows(FailureException.class, () -> ConfigurationFile.parse("file", text.replace('~', '\n')));
        assertThat(failure.type()).isEqualTo(FailureType.INVALID_CONFIGURATION);
        assertThat(failure.detail()).startsWith(lineOfError.strip());
        assertThat(failure.detail()).contains(reason);
    }
}
