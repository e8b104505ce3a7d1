package org.hornbeamspread.runtime;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.transport.AddressTranslator;

/** Parsers for settings that contain endpoints: lists of host:port, and address maps. */
public final class EndpointSettings {
    private EndpointSettings() {}

    /** The endpoints of a list separated by commas; blank items are skipped. Fails with INVALID_SETTING. */
    public static List<Endpoint> parseList(String value) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (String item : value.split(",", -1)) {
            if (!item.isBlank()) {
                endpoints.add(AddressTranslator.parse(item.strip()));
            }
        }
        return List.copyOf(endpoints);
    }

    /**
     * Reads an address map: a file with one {@code announced=reached} pair per line. An empty file name gives a
     * translator that leaves every address unchanged. Fails with INVALID_SETTING; the detail names the file, and the
     * line or address that is invalid.
     */
    public static AddressTranslator readAddressMap(String file) {
        if (file.isEmpty()) {
            return AddressTranslator.identity();
        }
        Map<Endpoint, Endpoint> table = new HashMap<>();
        for (String line : readLines(file)) {
            if (!line.isBlank()) {
                int equals = line.indexOf('=');
                if (equals < 0) {
                    throw invalidSetting(
                            "--address-map " + file + " has a line that is not announced=reached: " + line, null);
                }
                table.put(
                        parseEndpoint(file, line.substring(0, equals)),
                        parseEndpoint(file, line.substring(equals + 1)));
            }
        }
        return AddressTranslator.table(table);
    }

    private static List<String> readLines(String file) {
        try {
            return Files.readAllLines(Path.of(file));
        } catch (IOException e) {
            throw invalidSetting("--address-map file cannot be read: " + file, e);
        }
    }

    private static Endpoint parseEndpoint(String file, String text) {
        try {
            return AddressTranslator.parse(text.strip());
        } catch (FailureException e) {
            throw invalidSetting("--address-map " + file + ": " + e.detail(), e);
        }
    }

    private static FailureException invalidSetting(String detail, Throwable cause) {
        return new FailureException(FailureType.INVALID_SETTING, detail, cause);
    }
}
