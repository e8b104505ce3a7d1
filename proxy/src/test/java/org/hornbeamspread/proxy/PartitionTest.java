package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.Effect;
import org.hornbeamspread.protocol.schema.ExecuteRequest;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against writes and reads beyond the staleness allowance by a proxy that is partitioned from control. Control
 * stops granting leases, and the manual clock advances by one second, the lease duration; then the lease has expired.
 */
final class PartitionTest {
    private static final Duration LEASE = Duration.ofSeconds(1);
    private static final LogPosition LOG_END = new LogPosition(1, 5);

    private final ManualClock clock = new ManualClock();
    private ProxyHarness harness;

    @BeforeEach
    void isolateFromControlUntilLeaseExpires() {
        harness = new ProxyHarness(clock);
        ProxyHarness.awaitReadableAt(harness.first, "b", LOG_END);
        harness.control.setGrantsLeases(false);
        clock.advance(LEASE);
        harness.sameRegionReplica.advanceLogTo(1, 6);
        harness.first.awaitApplied(TestViews.GROUP, "b", new LogPosition(1, 6)).join();
    }

    @AfterEach
    void close() {
        harness.close();
    }

    @Test
    void readsWithinTheStalenessAllowanceAreServedFromAReplica() {
        CompletableFuture<ExecuteResponse> read =
                harness.execute("p1", ProxyHarness.read().build());
        harness.sameRegionReplica.nextCall().respondExecuted(1, 6, "old");
        assertThat(read.join().getEffect()).isEqualTo(Effect.DONE);
        assertThat(read.join().getAgeBoundMs()).isEqualTo(LEASE.toMillis());
    }

    @ParameterizedTest
    @CsvSource({"a write, false, VIEW_EXPIRED", "a read by id without a token, true, VIEW_EXPIRED"})
    void requestsThatNeedAValidLeaseAreRejectedWithoutRunning(String name, boolean readOnly, String type) {
        ExecuteRequest request = ProxyHarness.write("key-1").toBuilder()
                .setReadOnly(readOnly)
                .setSessionId("agent-7")
                .setTimeoutMs(4)
                .build();
        ExecuteResponse response = harness.execute("p1", request).join();
        assertThat(response.getFailure().getType()).isEqualTo(type);
        assertThat(response.getEffect()).isEqualTo(Effect.NOT_RUN);
    }

    @Test
    void readBeyondTheStalenessAllowanceIsRejectedEvenAtTheFormerPrimary() {
        harness.primary.advanceLogTo(1, 6);
        harness.first.awaitApplied(TestViews.GROUP, "a", new LogPosition(1, 6)).join();
        ExecuteRequest request =
                ProxyHarness.read().setStalenessAllowanceMs(999).setTimeoutMs(4).build();
        ExecuteResponse response = harness.execute("p1", request).join();
        assertThat(response.getFailure().getType()).isEqualTo("NO_REPLICA_IN_TIME");
    }

    @Test
    void replacedHolderStartsNoWork() {
        harness.sameRegionReplica.reportConnections(9);
        harness.sameRegionReplica.advanceLogTo(1, 7);
        harness.first.awaitApplied(TestViews.GROUP, "b", new LogPosition(1, 7)).join();
        ExecuteResponse response = harness.execute(
                        "p1", ProxyHarness.read().setTimeoutMs(4).build())
                .join();
        assertThat(response.getFailure().getType()).isEqualTo("NO_REPLICA_IN_TIME");
        assertThat(response.getEffect()).isEqualTo(Effect.NOT_RUN);
    }

    @ParameterizedTest
    @CsvSource({
        "true, false, 9000, 9, 2, true",
        "false, false, 0, 0, 2, false",
        "false, true, 300, 2, 2, true",
        "false, true, 301, 2, 2, false",
        "false, true, 0, 3, 2, false",
    })
    void holderWithoutLeaseStartsOnlyReadsWhenNoOtherProxyIsConnected(
            boolean leaseValid,
            boolean readOnly,
            long reportAgeMs,
            int reportedConnections,
            int ownConnections,
            boolean mayStart) {
        assertThat(HolderAdmissionRule.mayStart(
                        leaseValid, readOnly, Duration.ofMillis(reportAgeMs), reportedConnections, ownConnections))
                .isEqualTo(mayStart);
    }
}
