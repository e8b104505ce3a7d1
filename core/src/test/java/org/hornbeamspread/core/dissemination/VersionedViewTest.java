package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class VersionedViewTest {
    private static final int CHANGES = 400;
    private static final int KEYS = 12;

    /** A reader that applies deltas from any version on holds what a reader of everything holds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void applyingDeltasYieldsTheSameMap(long seed) {
        Random random = new Random(seed);
        VersionedView<String> view = new VersionedView<>();
        Map<String, String> truth = new HashMap<>();
        Map<String, String> reader = new HashMap<>();
        long held = 0;
        for (int i = 0; i < CHANGES; i++) {
            String key = "k" + random.nextInt(KEYS);
            if (random.nextInt(4) == 0) {
                truth.remove(key);
                view.remove(key);
            } else {
                String value = key + "=" + i;
                truth.put(key, value);
                view.put(key, version -> value);
            }
            if (random.nextInt(5) == 0) {
                Set<String> removed = new HashSet<>(view.removedSince(held));
                reader.keySet().removeAll(removed);
                assertThat(view.changesSince(held)).containsNoDuplicates();
                view.changesSince(held).forEach(value -> reader.put(value.split("=", -1)[0], value));
                held = view.version();
                assertThat(reader).isEqualTo(truth);
            }
        }
    }
}
