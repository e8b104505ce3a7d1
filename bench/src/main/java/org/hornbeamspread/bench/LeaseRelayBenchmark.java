package org.hornbeamspread.bench;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.core.dissemination.Lease;
import org.hornbeamspread.core.dissemination.LeaseRelay;
import org.hornbeamspread.core.misc.ManualClock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Time that a relay needs for one renewal of a proxy and for one of its own, by the number of proxies behind the relay.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class LeaseRelayBenchmark {
    private static final Duration LEASE = Duration.ofSeconds(1);

    /** The number of proxies behind the relay. */
    @Param({"10", "100", "500", "5000"})
    public int proxies;

    private final ManualClock clock = new ManualClock();
    private String[] proxyIds;
    private LeaseRelay relay;
    private int nextProxyIndex;

    /** Grants a lease to each proxy. */
    @Setup
    public void grantLeases() {
        relay = new LeaseRelay(clock, LEASE);
        clock.advance(LEASE.multipliedBy(2));
        relay.onLeaderResponse(clock.instant(), 1, 1, LEASE);
        proxyIds = new String[proxies];
        for (int i = 0; i < proxies; i++) {
            proxyIds[i] = "proxy-" + i;
            relay.renew(proxyIds[i], 1, 1);
        }
    }

    /** One renewal of a proxy. */
    @Benchmark
    public Lease renewOneProxy() {
        nextProxyIndex = (nextProxyIndex + 1) % proxies;
        return relay.renew(proxyIds[nextProxyIndex], 1, 1);
    }

    /** The version that the relay confirms to the leader. */
    @Benchmark
    public long confirmUpstream() {
        return relay.confirmedVersion();
    }
}
