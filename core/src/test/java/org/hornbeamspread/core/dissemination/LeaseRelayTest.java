package org.hornbeamspread.core.dissemination;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class LeaseRelayTest {
    private static final Duration LEASE = Duration.ofSeconds(1);

    private final ManualClock clock = new ManualClock();

    @Test
    void aRelayPartitionedFromTheLeaderDoesNotExtendLeases() {
        LeaseRelay relay = new LeaseRelay(clock, LEASE);
        relay.onLeaderResponse(clock.instant(), 1, 7, LEASE);
        clock.advance(Duration.ofMillis(900));
        assertThat(relay.renew("p1", 1, 7).remainingAt(clock.instant())).isEqualTo(Duration.ofMillis(100));
        clock.advance(Duration.ofMillis(100));
        assertThat(relay.renew("p1", 1, 7)).isEqualTo(Lease.NONE);
    }

    @Test
    void aRestartedRelayConfirmsNoVersionUntilEarlierLeasesExpire() {
        LeaseRelay relay = new LeaseRelay(clock, LEASE);
        relay.onLeaderResponse(clock.instant(), 1, 7, LEASE);
        assertThat(relay.confirmedVersion()).isEqualTo(0);
        clock.advance(LEASE.multipliedBy(2));
        relay.onLeaderResponse(clock.instant(), 1, 8, LEASE);
        assertThat(relay.confirmedVersion()).isEqualTo(8);
    }

    @ParameterizedTest
    @CsvSource({"0, 8", "8, 8", "9, 9"})
    void theRelayConfirmsTheOldestVersionThatAProxyMayActOn(long confirmedByLaggard, long confirmed) {
        LeaseRelay relay = relayWithLeaseForVersion(8);
        relay.renew("p1", 0, 0);
        relay.renew("p2", 0, 0);
        relay.onLeaderResponse(clock.instant(), 1, 9, LEASE);
        relay.renew("p1", 1, 9);
        if (confirmedByLaggard > 0) {
            relay.renew("p2", 1, confirmedByLaggard);
        }
        assertThat(relay.confirmedVersion()).isEqualTo(confirmed);
    }

    @Test
    void aProxyThatReceivesNoResponseDelaysConfirmationForAtMostOneLease() {
        LeaseRelay relay = relayWithLeaseForVersion(8);
        relay.renew("p1", 0, 0);
        relay.onLeaderResponse(clock.instant(), 1, 9, LEASE);
        for (int i = 0; i < 10; i++) {
            clock.advance(LEASE.dividedBy(10));
            relay.onLeaderResponse(clock.instant(), 1, 9, LEASE);
            relay.renew("p1", 0, 0);
        }
        assertThat(relay.confirmedVersion()).isEqualTo(9);
    }

    private LeaseRelay relayWithLeaseForVersion(long version) {
        LeaseRelay relay = new LeaseRelay(clock, LEASE);
        clock.advance(LEASE.multipliedBy(2));
        relay.onLeaderResponse(clock.instant(), 1, version, LEASE);
        return relay;
    }

    /**
     * Random delays, relay restarts and lost messages: no proxy may hold a lease on a view that the leader believes is
     * out of use. The same walk with a rule of the relay left out must break it.
     */
    @ParameterizedTest
    @CsvSource({"SAFE, false", "FULL_LEASE, true", "OWN_VERSION, true", "NO_RESTART_WAIT, true"})
    void theLeadersRecordForTheRelayCoversEveryProxy(RandomizedRun.Variant rule, boolean breaks) {
        boolean broken = false;
        for (long seed = 1; seed <= 200; seed++) {
            broken |= new RandomizedRun(seed, rule).run();
        }
        assertThat(broken).isEqualTo(breaks);
    }

    /** One leader, one relay, three proxies, and messages that take from 0 to 400 ms. */
    private static final class RandomizedRun {
        enum Variant {
            SAFE,
            FULL_LEASE,
            OWN_VERSION,
            NO_RESTART_WAIT
        }

        private record Delivery(Instant deliverAt, Runnable action) {}

        private final ManualClock clock = new ManualClock();
        private final RandomGenerator random;
        private final Variant rule;
        private final Deque<Delivery> pendingDeliveries = new ArrayDeque<>();
        private final List<Lease> proxyLeases = new ArrayList<>(List.of(Lease.NONE, Lease.NONE, Lease.NONE));
        private LeaseRelay relay;

        /** The relay's last answer, which the broken rules hand on in place of what the relay decides. */
        private Lease lastLeaderLease = Lease.NONE;

        private int relayIncarnation;
        private long currentVersion = 1;

        /** What the leader knows of the relay. */
        private long leaderConfirmedVersion;

        private Instant relayLeaseExpiresAt = Instant.EPOCH;

        RandomizedRun(long seed, Variant rule) {
            this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            this.rule = rule;
            restartRelay();
        }

        /** Whether a proxy ever held a lease on a view that the leader had taken out of use. */
        boolean run() {
            for (int step = 0; step < 600; step++) {
                clock.advance(Duration.ofMillis(random.nextInt(60)));
                deliverDueMessages();
                performRandomAction();
                if (invariantViolated()) {
                    return true;
                }
            }
            return false;
        }

        private boolean invariantViolated() {
            Instant now = clock.instant();
            long inUseFrom = now.isBefore(relayLeaseExpiresAt) ? leaderConfirmedVersion : currentVersion;
            return proxyLeases.stream().anyMatch(lease -> lease.isValidAt(now) && lease.viewVersion() < inUseFrom);
        }

        private void performRandomAction() {
            switch (random.nextInt(10)) {
                case 0 -> currentVersion++;
                case 1, 2, 3 -> renewRelay();
                case 4 -> {
                    if (random.nextInt(20) == 0) {
                        restartRelay();
                    }
                }
                default -> renewProxy(random.nextInt(proxyLeases.size()));
            }
        }

        private void restartRelay() {
            relay = new LeaseRelay(clock, rule == Variant.NO_RESTART_WAIT ? Duration.ZERO : LEASE);
            lastLeaderLease = Lease.NONE;
            relayIncarnation++;
        }

        private void renewRelay() {
            Instant sentAt = clock.instant();
            long confirmed = rule == Variant.OWN_VERSION ? lastLeaderLease.viewVersion() : relay.confirmedVersion();
            int run = relayIncarnation;
            send(() -> {
                leaderConfirmedVersion = Math.max(leaderConfirmedVersion, confirmed);
                relayLeaseExpiresAt = clock.instant().plus(LEASE);
                long granted = currentVersion;
                send(() -> {
                    if (run == relayIncarnation) {
                        relay.onLeaderResponse(sentAt, 1, granted, LEASE);
                        lastLeaderLease =
                                new Lease(1, Math.max(granted, lastLeaderLease.viewVersion()), sentAt.plus(LEASE));
                    }
                });
            });
        }

        private void renewProxy(int index) {
            Instant sentAt = clock.instant();
            long held = proxyLeases.get(index).viewVersion();
            send(() -> {
                Lease granted = relay.renew("p" + index, held == 0 ? 0 : 1, held);
                Duration lease = rule == Variant.FULL_LEASE ? LEASE : granted.remainingAt(clock.instant());
                long version = rule == Variant.FULL_LEASE ? lastLeaderLease.viewVersion() : granted.viewVersion();
                send(() -> {
                    Lease answered = new Lease(1, version, sentAt.plus(lease));
                    if (!proxyLeases.get(index).isLaterThan(answered)
                            && answered.expiresAt()
                                    .isAfter(proxyLeases.get(index).expiresAt())) {
                        proxyLeases.set(index, answered);
                    }
                });
            });
        }

        private void send(Runnable effect) {
            if (random.nextInt(8) > 0) {
                pendingDeliveries.add(new Delivery(clock.instant().plusMillis(random.nextInt(400)), effect));
            }
        }

        private void deliverDueMessages() {
            for (Delivery delivery : List.copyOf(pendingDeliveries)) {
                if (!delivery.deliverAt().isAfter(clock.instant())) {
                    pendingDeliveries.remove(delivery);
                    delivery.action().run();
                }
            }
        }
    }
}
