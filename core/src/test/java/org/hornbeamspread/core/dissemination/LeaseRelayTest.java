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

/**
 * Guards against a proxy that acts on an old view after the leader has counted this view as out of use. The causes
 * covered are a relay that is partitioned from the leader, a relay that restarts, and delayed or lost messages.
 */
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
    void theRelayConfirmsTheOldestVersionThatAProxyMayActOn(long confirmedBySlowProxy, long expectedVersion) {
        LeaseRelay relay = relayWithLeaseForVersion(8);
        relay.renew("p1", 0, 0);
        relay.renew("p2", 0, 0);
        relay.onLeaderResponse(clock.instant(), 1, 9, LEASE);
        relay.renew("p1", 1, 9);
        if (confirmedBySlowProxy > 0) {
            relay.renew("p2", 1, confirmedBySlowProxy);
        }
        assertThat(relay.confirmedVersion()).isEqualTo(expectedVersion);
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
     * Under random delays, relay restarts and lost messages, no proxy may hold a lease on a view that the leader counts
     * as out of use. A run with one of the relay's rules left out must violate this.
     */
    @ParameterizedTest
    @CsvSource({"SAFE, false", "FULL_LEASE, true", "OWN_VERSION, true", "NO_RESTART_WAIT, true"})
    void theLeadersRecordForTheRelayCoversEveryProxy(RandomizedRun.Variant variant, boolean violationExpected) {
        boolean violated = false;
        for (long seed = 1; seed <= 200; seed++) {
            violated |= new RandomizedRun(seed, variant).run();
        }
        assertThat(violated).isEqualTo(violationExpected);
    }

    /** One leader, one relay, three proxies, and messages that take from 0 to 400 ms. */
    private static final class RandomizedRun {
        enum Variant {
            /** The relay with all its rules. */
            SAFE,
            /** Proxies are granted a full lease instead of the rest of the relay's lease. */
            FULL_LEASE,
            /** The relay confirms its own version instead of the oldest that a proxy may act on. */
            OWN_VERSION,
            /** A restarted relay does not wait until the leases of its earlier run have expired. */
            NO_RESTART_WAIT
        }

        private record Delivery(Instant deliverAt, Runnable action) {}

        private final ManualClock clock = new ManualClock();
        private final RandomGenerator random;
        private final Variant variant;
        private final Deque<Delivery> pendingDeliveries = new ArrayDeque<>();
        private final List<Lease> proxyLeases = new ArrayList<>(List.of(Lease.NONE, Lease.NONE, Lease.NONE));
        private LeaseRelay relay;

        /**
         * The lease in the leader's last response, which the faulty variants use instead of the relay's own decision.
         */
        private Lease lastLeaderLease = Lease.NONE;

        private int relayIncarnation;
        private long currentVersion = 1;

        /** The leader's record of the version that the relay confirmed. */
        private long leaderConfirmedVersion;

        private Instant relayLeaseExpiresAt = Instant.EPOCH;

        RandomizedRun(long seed, Variant variant) {
            this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            this.variant = variant;
            restartRelay();
        }

        /** Whether a proxy held, at any time, a lease on a view that the leader counted as out of use. */
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
            long oldestVersionInUse = now.isBefore(relayLeaseExpiresAt) ? leaderConfirmedVersion : currentVersion;
            return proxyLeases.stream()
                    .anyMatch(lease -> lease.isValidAt(now) && lease.viewVersion() < oldestVersionInUse);
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
            relay = new LeaseRelay(clock, variant == Variant.NO_RESTART_WAIT ? Duration.ZERO : LEASE);
            lastLeaderLease = Lease.NONE;
            relayIncarnation++;
        }

        private void renewRelay() {
            Instant sentAt = clock.instant();
            long confirmed = variant == Variant.OWN_VERSION ? lastLeaderLease.viewVersion() : relay.confirmedVersion();
            int incarnation = relayIncarnation;
            send(() -> {
                leaderConfirmedVersion = Math.max(leaderConfirmedVersion, confirmed);
                relayLeaseExpiresAt = clock.instant().plus(LEASE);
                long granted = currentVersion;
                send(() -> {
                    if (incarnation == relayIncarnation) {
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
                Duration lease = variant == Variant.FULL_LEASE ? LEASE : granted.remainingAt(clock.instant());
                long version = variant == Variant.FULL_LEASE ? lastLeaderLease.viewVersion() : granted.viewVersion();
                send(() -> {
                    Lease received = new Lease(1, version, sentAt.plus(lease));
                    if (!proxyLeases.get(index).isLaterThan(received)
                            && received.expiresAt()
                                    .isAfter(proxyLeases.get(index).expiresAt())) {
                        proxyLeases.set(index, received);
                    }
                });
            });
        }

        private void send(Runnable action) {
            if (random.nextInt(8) > 0) {
                pendingDeliveries.add(new Delivery(clock.instant().plusMillis(random.nextInt(400)), action));
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
