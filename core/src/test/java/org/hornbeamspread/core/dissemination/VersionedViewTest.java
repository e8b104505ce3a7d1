package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against deltas that omit a change or a removal, which would leave a reader with a wrong view. */
final class VersionedViewTest {
    private static final int CHANGES = 400;
    private static final int KEYS = 12;

    /** A reader that applies deltas at random intervals holds the same map as the source of the changes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void applyingDeltasYieldsTheSameMap(long seed) {
        Random random = new Random(seed);
        VersionedView<String> view = new VersionedView<>();
        Map<String, String> expected = new HashMap<>();
        Map<String, String> reader = new HashMap<>();
        long readerVersion = 0;
        for (int i = 0; i < CHANGES; i++) {
            String key = "k" + random.nextInt(KEYS);
            if (random.nextInt(4) == 0) {
                expected.remove(key);
                view.remove(key);
            } else {
                String value = key + "=" + i;
                expected.put(key, value);
                view.put(key, version -> value);
            }
            if (random.nextInt(5) == 0) {
                Set<String> removed = new HashSet<>(view.removedSince(readerVersion));
                reader.keySet().removeAll(removed);
                assertThat(view.changesSince(readerVersion)).containsNoDuplicates();
                view.changesSince(readerVersion).forEach(value -> reader.put(value.split("=", -1)[0], value));
                readerVersion = view.version();
                assertThat(reader).isEqualTo(expected);
            }
        }
    }
}
