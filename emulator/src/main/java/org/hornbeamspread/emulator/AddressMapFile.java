package org.hornbeamspread.emulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.transport.AddressTranslator;

/** Reads an address map: one {@code announced=reached} a line. */
final class AddressMapFile {
    private AddressMapFile() {}

    /** Fails with INVALID_SETTING. */
    static AddressTranslator read(Path file) {
        Map<Endpoint, Endpoint> table = new HashMap<>();
        try {
            for (String line : Files.readAllLines(file)) {
                if (!line.isBlank()) {
                    String[] sides = line.trim().split("=", 2);
                    table.put(AddressTranslator.parse(sides[0]), AddressTranslator.parse(sides[sides.length - 1]));
                }
            }
        } catch (IOException e) {
            throw new FailureException(FailureType.INVALID_SETTING, "--address-map can't be read: " + e.getMessage());
        }
        return AddressTranslator.table(table);
    }
}
