package org.hornbeamspread.control.failover;

import com.google.protobuf.InvalidProtocolBufferException;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.core.failover.FailoverTimings;
import org.hornbeamspread.core.failover.FailureDetector;
import org.hornbeamspread.core.membership.DatabaseRegistry;
import org.hornbeamspread.core.membership.LiveProxy;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Announce;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.DatabaseObservation;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Envelope;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.Position;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.ProxyEntry;
import org.hornbeamspread.protocol.schema.RegisteredDatabase;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ViewLease;
import org.hornbeamspread.runtime.MonotonicClock;

/**
 * Benchmark of the work of one control leader by fleet size, with the real registry, failover, view and codec, in
 * memory and on one thread. Run as a program; prints one line for each size. Not a test: the benchmark asserts nothing.
 */
final class LeaderSessionBenchmark {
    private static final int[][] SIZES = {{10, 30}, {100, 300}, {1000, 3000}, {5000, 19_000}, {7500, 19_000}};
    private static final int DOMAINS = 15;
    private static final int GROUP_SIZE = 3;
    private static final int MESSAGES = 20_000;
    private static final int STEPS = 20;
    private static final int NANOS_PER_MICRO = 1000;
    private static final int BYTES_PER_KIB = 1024;

    private final Clock clock = new MonotonicClock();
    private final int proxies;
    private final int databases;
    private final DatabaseRegistry registry =
            new DatabaseRegistry(clock, Duration.ofMinutes(10), Duration.ofMinutes(20));
    private final FailureDetector detector = new FailureDetector(clock, FailoverTimings.DEFAULT);
    private LeaderSession session;
    private long version;

    /** Prevents the compiler from eliminating the encoding. */
    private long encodedBytes;

    private LeaderSessionBenchmark(int proxies, int databases) {
        this.proxies = proxies;
        this.databases = databases;
    }

    /** Prints the table. The optional argument selects the only number of proxies to measure. */
    public static void main(String[] arguments) throws Exception {
        System.out.println("| proxies | databases | renewal us | announcement us | idle step us | log change us"
                + " | proxy change ms | full view KiB | group delta B | proxies delta KiB | heap MiB |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        new LeaderSessionBenchmark(SIZES[1][0], SIZES[1][1]).measure();
        for (int[] size : SIZES) {
            boolean selected = arguments.length == 0 || Integer.parseInt(arguments[0]) == size[0];
            if (selected) {
                System.out.println(new LeaderSessionBenchmark(size[0], size[1]).measure());
            }
        }
    }

    private String measure() throws InterruptedException, InvalidProtocolBufferException {
        long heapBefore = usedHeapBytes();
        ControlState state = state(1);
        session = new LeaderSession(
                1,
                Duration.ofMillis(100),
                clock,
                FailoverTimings.DEFAULT,
                registry,
                detector,
                new ControlMetrics(new PrometheusRegistry()));
        announceAll();
        session.update(state);
        Thread.sleep(150);
        int fullViewBytes = renewAllProxies();
        long heapBytes = usedHeapBytes() - heapBefore;
        double renewalUs = timeRenewals();
        double announcementUs = timeAnnouncements();
        double stepUs = timeSteps();
        long updateStartNs = System.nanoTime();
        session.update(state(2));
        session.publish();
        double updateUs = micros(System.nanoTime() - updateStartNs);
        int groupDeltaBytes = grant(0, version).getSerializedSize();
        stepUntilStable();
        long addProxyStartNs = System.nanoTime();
        int proxiesDeltaBytes = addProxy();
        double addProxyMs = micros(System.nanoTime() - addProxyStartNs) / NANOS_PER_MICRO;
        return String.format(
                Locale.ROOT,
                "| %d | %d | %.1f | %.1f | %.0f | %.0f | %.1f | %d | %d | %d | %d |",
                proxies,
                databases,
                renewalUs,
                announcementUs,
                stepUs,
                updateUs,
                addProxyMs,
                fullViewBytes / BYTES_PER_KIB,
                groupDeltaBytes,
                proxiesDeltaBytes / BYTES_PER_KIB,
                heapBytes / BYTES_PER_KIB / BYTES_PER_KIB);
    }

    /** Grants each proxy a lease, and the last one again. Returns the size of that full view in bytes. */
    private int renewAllProxies() {
        for (int i = 0; i < proxies; i++) {
            RenewView request = renewalRequest(i, 0);
            session.grant(
                    request,
                    ViewMessages.proxy(request.getProxy()),
                    clock.instant().plusSeconds(600));
        }
        stepUntilStable();
        return grant(proxies - 1, 0).getSerializedSize();
    }

    private void stepUntilStable() {
        for (int i = 0; i < STEPS; i++) {
            session.step();
        }
        version = session.view().version();
    }

    private double timeRenewals() throws InvalidProtocolBufferException {
        byte[] request = Envelope.newBuilder()
                .setRenewView(renewalRequest(0, version))
                .build()
                .toByteArray();
        for (int i = 0; i < MESSAGES; i++) {
            processRenewal(request);
        }
        long startNs = System.nanoTime();
        for (int i = 0; i < MESSAGES; i++) {
            processRenewal(request);
        }
        if (encodedBytes == 0) {
            throw new FailureException(FailureType.INTERNAL, "no lease response was encoded");
        }
        return micros(System.nanoTime() - startNs) / MESSAGES;
    }

    private void processRenewal(byte[] request) throws InvalidProtocolBufferException {
        RenewView renewal = Envelope.parseFrom(request).getRenewView();
        LiveProxy proxy = ViewMessages.proxy(renewal.getProxy());
        session.recordRenewal(renewal, proxy);
        ViewLease viewLease = session.grant(renewal, proxy, clock.instant().plusSeconds(600));
        encodedBytes += Envelope.newBuilder().setViewLease(viewLease).build().toByteArray().length;
    }

    private double timeAnnouncements() throws InvalidProtocolBufferException {
        byte[] push = Envelope.newBuilder().setAnnounce(announcement(0)).build().toByteArray();
        long startNs = System.nanoTime();
        for (int i = 0; i < MESSAGES; i++) {
            registry.announce(ViewMessages.announced(Envelope.parseFrom(push).getAnnounce()));
            detector.recordContact("d0");
        }
        return micros(System.nanoTime() - startNs) / MESSAGES;
    }

    private double timeSteps() {
        long startNs = System.nanoTime();
        for (int i = 0; i < STEPS; i++) {
            session.step();
        }
        return micros(System.nanoTime() - startNs) / STEPS;
    }

    /** Adds a proxy, which causes a new holder assignment. Returns the size of the delta for another proxy in bytes. */
    private int addProxy() {
        RenewView request = renewalRequest(proxies, 0);
        session.grant(
                request, ViewMessages.proxy(request.getProxy()), clock.instant().plusSeconds(600));
        session.step();
        return grant(0, version).getSerializedSize();
    }

    private ViewLease grant(int index, long heldVersion) {
        RenewView request = renewalRequest(index, heldVersion);
        return session.view()
                .grant(
                        ViewMessages.proxy(request.getProxy()),
                        request,
                        clock.instant().plusSeconds(600));
    }

    private RenewView renewalRequest(int index, long heldVersion) {
        RenewView.Builder request = RenewView.newBuilder()
                .setProxy(proxyEntry(index))
                .setLeaderTerm(1)
                .setViewVersion(heldVersion);
        for (int i = 0; i < GROUP_SIZE; i++) {
            request.addObservations(DatabaseObservation.newBuilder()
                    .setDatabaseId("d" + (index * GROUP_SIZE + i) % databases)
                    .setIncarnation(1)
                    .setReachable(true)
                    .setSilentMs(3));
        }
        return request.build();
    }

    private void announceAll() {
        for (int i = 0; i < databases; i++) {
            registry.announce(ViewMessages.announced(announcement(i)));
            detector.recordContact("d" + i);
        }
    }

    private Announce announcement(int index) {
        Position position = Position.newBuilder().setTerm(1).setIndex(1_000_000).build();
        boolean primary = index % GROUP_SIZE == 0;
        PositionReport.Builder report = PositionReport.newBuilder()
                .setTerm(1)
                .setRole(primary ? DatabaseRole.PRIMARY : DatabaseRole.REPLICA)
                .setFollowedTerm(1)
                .setSynced(position)
                .setApplied(position)
                .setTrusted(true);
        if (primary) {
            report.setMarker(Position.newBuilder().setTerm(1).setIndex(1));
        }
        return Announce.newBuilder()
                .setDatabaseId("d" + index)
                .setGroup("g" + index / GROUP_SIZE)
                .setIncarnation(1)
                .setEndpoint(endpoint(index))
                .setFailureDomain("domain-" + index % DOMAINS)
                .setRegion("region-" + index % GROUP_SIZE)
                .setSlots(5)
                .setConnectionLimit(35)
                .setReport(report)
                .build();
    }

    private ControlState state(long firstGroupTerm) {
        ControlState.Builder state = ControlState.newBuilder();
        Configuration.Builder configuration = Configuration.newBuilder().setVersion(1);
        for (int i = 0; i < databases; i++) {
            state.addDatabases(RegisteredDatabase.newBuilder()
                    .setDatabaseId("d" + i)
                    .setGroup("g" + i / GROUP_SIZE)
                    .setIncarnation(1)
                    .setTrusted(true));
        }
        for (int i = 0; i < databases / GROUP_SIZE; i++) {
            configuration.addGroups(GroupDefinition.newBuilder()
                    .setName("g" + i)
                    .setDatabases(GROUP_SIZE)
                    .setSlotsPerDatabase(5)
                    .setConnectionsPerDatabase(35));
            state.addGroups(GroupTerm.newBuilder()
                    .setGroup("g" + i)
                    .setTerm(i == 0 ? firstGroupTerm : 1)
                    .setPrimaryId("d" + i * GROUP_SIZE)
                    .setWritable(true));
        }
        return state.setConfiguration(configuration).build();
    }

    private static ProxyEntry proxyEntry(int index) {
        return ProxyEntry.newBuilder()
                .setProxyId("p" + index)
                .setFailureDomain("domain-" + index % DOMAINS)
                .setRegion("region-" + index % GROUP_SIZE)
                .setPeer(endpoint(index))
                .setHttp(endpoint(index))
                .setConfigurationVersion(1)
                .setIncarnation(1)
                .build();
    }

    private static Endpoint endpoint(int index) {
        return Endpoint.newBuilder()
                .setHost("10.1." + index / 250 + "." + index % 250)
                .setPort(7000)
                .build();
    }

    private static double micros(long nanos) {
        return (double) nanos / NANOS_PER_MICRO;
    }

    private static long usedHeapBytes() throws InterruptedException {
        System.gc();
        Thread.sleep(100);
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
