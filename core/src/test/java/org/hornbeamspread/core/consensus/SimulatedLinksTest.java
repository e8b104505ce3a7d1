package org.hornbeamspread.core.consensus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** After the last fault on the connections between members a leader follows within the stable window. */
final class SimulatedLinksTest {
    private static final int FAULTS = 12;
    private static final int SEEDS = 300;

    /** No member had a leader any more after a final fault, though all ran and accepted connections (issue 35). */
    @ParameterizedTest
    @CsvSource({"3, true, true", "3, true, false", "3, false, true", "5, true, true", "5, true, false", "5, false, true"
    })
    void aLeaderFollowsAfterAllLinksFallSilent(int members, boolean requests, boolean answers) {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedLinks links = new SimulatedLinks(members, seed, true);
            silenceAll(links, requests, answers);
            assertFollows(links, seed);
        }
    }

    @ParameterizedTest
    @CsvSource({"3, true, true", "3, true, false", "3, false, true", "5, true, true", "5, true, false", "5, false, true"
    })
    void everyPairOfDirectionsRecovers(int members, boolean requests, boolean answers) {
        List<String> ids = new SimulatedLinks(members, 0, true).ids();
        long seed = 0;
        for (String from : ids) {
            for (String to : ids) {
                for (String otherFrom : ids) {
                    for (String otherTo : ids) {
                        if (!from.equals(to) && !otherFrom.equals(otherTo)) {
                            SimulatedLinks links = new SimulatedLinks(members, seed, true);
                            links.silence(from, to, requests, answers);
                            links.silence(otherFrom, otherTo, requests, answers);
                            assertFollows(links, seed++);
                        }
                    }
                }
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"3", "5"})
    void aLeaderFollowsAfterRandomSeriesOfFaults(int members) {
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedLinks links = new SimulatedLinks(members, seed, true);
            runFaults(links, new SplittableRandom(seed));
            assertFollows(links, seed);
        }
    }

    /** The simulation finds the failure when silent connections stay open. */
    @ParameterizedTest
    @CsvSource({"3", "5"})
    void withoutTheRuleNoLeaderFollows(int members) {
        SimulatedLinks links = new SimulatedLinks(members, 0, false);
        silenceAll(links, true, true);
        assertThat(links.commitsWithin(SimulatedLinks.STABLE_WINDOW.multipliedBy(10)))
                .isFalse();
    }

    @Test
    void withoutTheRuleRandomSeriesEndWithoutALeader() {
        int withoutLeader = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            SimulatedLinks links = new SimulatedLinks(3, seed, false);
            runFaults(links, new SplittableRandom(seed));
            withoutLeader += links.commitsWithin(SimulatedLinks.STABLE_WINDOW) ? 0 : 1;
        }
        assertThat(withoutLeader).isAtLeast(SEEDS / 3);
    }

    private static void assertFollows(SimulatedLinks links, long seed) {
        assertWithMessage("seed %s: every member applies a change within the stable window", seed)
                .that(links.commitsWithin(SimulatedLinks.STABLE_WINDOW))
                .isTrue();
    }

    private static void silenceAll(SimulatedLinks links, boolean requests, boolean answers) {
        links.ids().forEach(from -> links.ids().forEach(to -> links.silence(from, to, requests, answers)));
    }

    /** Silences, dark links, suspensions and losses of power, one after the other or overlapping; all end with the last. */
    private static void runFaults(SimulatedLinks links, SplittableRandom random) {
        List<String> ids = links.ids();
        for (int i = 0; i < FAULTS; i++) {
            String from = ids.get(random.nextInt(ids.size()));
            String to = ids.get(random.nextInt(ids.size()));
            switch (random.nextInt(5)) {
                case 0 -> links.silence(from, to, random.nextBoolean(), random.nextBoolean());
                case 1 -> silenceAll(links, random.nextBoolean(), random.nextBoolean());
                case 2 -> links.setDark(from, to, true);
                case 3 -> links.suspend(from);
                default -> links.losePower(from);
            }
            links.runFor(Duration.ofMillis(random.nextInt(600)));
            if (random.nextBoolean()) {
                endAll(links);
            }
        }
        endAll(links);
    }

    private static void endAll(SimulatedLinks links) {
        for (String from : links.ids()) {
            links.resume(from);
            links.start(from);
            links.ids().forEach(to -> links.setDark(from, to, false));
        }
    }
}
