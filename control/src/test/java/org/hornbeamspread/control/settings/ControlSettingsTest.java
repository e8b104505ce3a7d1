package org.hornbeamspread.control.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.CommandLine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ControlSettingsTest {
    private static final String[] VALID_FLAGS = {
        "--member-id", "c1",
        "--peer-endpoint", "127.0.0.1:7001",
        "--http-endpoint", "127.0.0.1:8001",
        "--failure-domain", "bole",
        "--region", "addis",
        "--data-dir", "data",
        "--members", "c1=127.0.0.1:7001/127.0.0.1:8001,c2=127.0.0.1:7002/127.0.0.1:8002"
    };

    @Test
    void flagsAreParsed() {
        ControlSettings settings = settings();
        assertThat(settings.members()).hasSize(2);
        assertThat(settings.members().get(1).getHttp().getPort()).isEqualTo(8002);
        assertThat(settings.lease()).isEqualTo(Duration.ofSeconds(1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '!',
            value = {
                "--member-id ! c9",
                "--peer-endpoint ! 127.0.0.1",
                "--http-endpoint ! 127.0.0.1:99999",
                "--failure-domain ! ''",
                "--region ! ''",
                "--data-dir ! ''",
                "--cluster-id ! ''",
                "--lease-ms ! 99",
                "--lease-ms ! 10001",
                "--lease-ms ! soon",
                "--members ! c1",
                "--members ! c1=127.0.0.1:1/127.0.0.1:2,c1=127.0.0.1:3/127.0.0.1:4",
                "--address-map ! no-such-file"
            })
    void anInvalidSettingIsRefused(String flag, String value) {
        FailureException refusal = assertThrows(FailureException.class, () -> settings(flag, value));
        assertThat(refusal.type()).isEqualTo(FailureType.INVALID_SETTING);
    }

    private static ControlSettings settings(String... more) {
        String[] all = new String[VALID_FLAGS.length + more.length];
        System.arraycopy(VALID_FLAGS, 0, all, 0, VALID_FLAGS.length);
        System.arraycopy(more, 0, all, VALID_FLAGS.length, more.length);
        return ControlSettings.of(CommandLine.parse(new ControlOptions(), Map.of(), all));
    }
}
