package org.hornbeamspread.control.failover;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.hornbeamspread.control.state.ControlStateMachine;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.core.failover.FailoverEffect;
import org.hornbeamspread.core.failover.FailoverTimings;
import org.hornbeamspread.core.failover.FailureDetector;
import org.hornbeamspread.core.failover.GroupRecord;
import org.hornbeamspread.core.membership.DatabaseRegistry;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.RegisterDatabases;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.SetGroupTerms;
import org.hornbeamspread.protocol.schema.ViewLease;

/**
 * One control leader with a log of one member, three databases and three proxies on a manually advanced clock. After
 * each step the fixture checks the invariants: no proxy may write at a term older than the writable one, each database
 * has at most one holder, and the current term has at most one primary.
 */
final class ControlFixture {
    static final String GROUP = "g1";
    static final Duration LEASE = Duration.ofSeconds(1);
    private static final Duration STEP_INTERVAL = Duration.ofMillis(20);
    private static final int ANNOUNCE_INTERVAL_STEPS = 15;
    private static final List<String> FAILURE_DOMAINS = List.of("bole", "piassa", "sabian");

    final ManualClock clock = new ManualClock();
    final List<FakeDatabase> databases = new ArrayList<>();
    final List<FakeProxy> proxies = new ArrayList<>();
    final ControlStateMachine stateMachine = new ControlStateMachine();
    final List<GroupRecord> appendedRecords = new ArrayList<>();
    private final DatabaseRegistry registry =
            new DatabaseRegistry(clock, Duration.ofSeconds(1), Duration.ofSeconds(30));
    private final FailureDetector detector = new FailureDetector(clock, FailoverTimings.DEFAULT);
    private final ControlMetrics metrics = new ControlMetrics(new PrometheusRegistry());
    private LeaderSession session;
    private long leaderTerm;
    private long steps;
    private long lastIndex;

    ControlFixture() {
        FAILURE_DOMAINS.forEach(domain -> databases.add(new FakeDatabase("d-" + domain, domain)));
        FAILURE_DOMAINS.forEach(domain -> proxies.add(new FakeProxy("p-" + domain, domain, clock)));
        apply(ControlCommand.newBuilder()
                .setReplaceConfiguration(ReplaceConfiguration.newBuilder().setConfiguration(configuration())));
        changeLeader();
    }

    /** Another member becomes leader, with no other state than the log and the announcements. */
    void changeLeader() {
        leaderTerm++;
        session = new LeaderSession(leaderTerm, LEASE, clock, FailoverTimings.DEFAULT, registry, detector, metrics);
        session.update(stateMachine.state());
    }

    LeaderSession session() {
        return session;
    }

    void run(Duration time) {
        Instant end = clock.instant().plus(time);
        while (clock.instant().isBefore(end)) {
            step();
        }
    }

    /** Runs until a term is writable. Returns the elapsed time. */
    Duration runUntilWritable(long term, Duration limit) {
        Instant start = clock.instant();
        while (record().term() < term || !record().writable()) {
            step();
            assertWithMessage("time until open for writes at term " + term)
                    .that(Duration.between(start, clock.instant()))
                    .isLessThan(limit);
        }
        return Duration.between(start, clock.instant());
    }

    void step() {
        clock.advance(STEP_INTERVAL);
        steps++;
        detector.detectLocalPause();
        announce();
        renew();
        session.markChanged(registry.expire());
        session.update(stateMachine.state());
        session.silentPrimariesToProbe().forEach(database -> probe(database(database.databaseId())));
        session.step().forEach((group, effects) -> effects.forEach(this::run));
        checkInvariants();
    }

    GroupRecord record() {
        return stateMachine.state().getGroupsList().stream()
                .findFirst()
                .map(ViewMessages::record)
                .orElseGet(() -> GroupRecord.initial(GROUP));
    }

    FakeDatabase primary() {
        return database(record().primaryId().orElseThrow());
    }

    Stream<FakeDatabase> replicas() {
        String primaryId = record().primaryId().orElseThrow();
        return databases.stream().filter(database -> !database.id.equals(primaryId));
    }

    FakeDatabase database(String id) {
        return databases.stream()
                .filter(database -> database.id.equals(id))
                .findFirst()
                .orElseThrow();
    }

    private Configuration configuration() {
        return Configuration.newBuilder()
                .addRanks(RankDefinition.newBuilder()
                        .setName("urgent")
                        .setTargetMs(300)
                        .setWorth(100))
                .addGroups(GroupDefinition.newBuilder()
                        .setName(GROUP)
                        .setDatabases(databases.size())
                        .setSlotsPerDatabase(5)
                        .setConnectionsPerDatabase(35))
                .addServices(ServiceDefinition.newBuilder()
                        .setName("rental-core")
                        .addGroups(GROUP)
                        .setDefaultTimeoutMs(1000))
                .build();
    }

    private void announce() {
        for (int i = 0; i < databases.size(); i++) {
            FakeDatabase database = databases.get(i);
            if (database.isResponsive() && steps % ANNOUNCE_INTERVAL_STEPS == i) {
                session.markChanged(registry.announce(database.announcement(GROUP)));
                detector.recordContact(database.id);
            }
        }
    }

    private void renew() {
        for (int i = 0; i < proxies.size(); i++) {
            FakeProxy proxy = proxies.get(i);
            if (!proxy.partitioned && steps % ANNOUNCE_INTERVAL_STEPS == i) {
                RenewView request = proxy.renewalRequest();
                session.recordRenewal(request, ViewMessages.proxy(request.getProxy()));
                ViewLease viewLease = session.grant(request, ViewMessages.proxy(request.getProxy()), clock.instant());
                if (!proxy.responsesLost) {
                    proxy.receiveLease(viewLease, clock.instant());
                }
            }
        }
    }

    private void probe(FakeDatabase database) {
        if (!database.running && !database.partitioned) {
            detector.recordConnectionFailure(database.id);
        } else if (database.isResponsive()) {
            recordStatus(database);
        }
    }

    private void run(FailoverEffect effect) {
        if (effect instanceof FailoverEffect.AppendRecord append) {
            appendedRecords.add(append.nextRecord());
            apply(ControlCommand.newBuilder()
                    .setSetGroupTerms(SetGroupTerms.newBuilder()
                            .addGroups(ViewMessages.toWire(append.nextRecord(), append.expectedTerm()))));
            completeProposal();
        } else if (effect instanceof FailoverEffect.AppendRegistrations append) {
            RegisterDatabases.Builder register = RegisterDatabases.newBuilder();
            append.registrations()
                    .forEach(registration -> register.addDatabases(ViewMessages.toWire(registration, GROUP)));
            apply(ControlCommand.newBuilder().setRegisterDatabases(register));
            completeProposal();
        } else {
            sendCommand(effect);
        }
    }

    private void sendCommand(FailoverEffect effect) {
        if (effect instanceof FailoverEffect.Fence fence
                && database(fence.databaseId()).isResponsive()) {
            database(fence.databaseId()).fence(fence.term());
            recordStatus(database(fence.databaseId()));
        } else if (effect instanceof FailoverEffect.Promote promote
                && database(promote.databaseId()).isResponsive()) {
            if (database(promote.databaseId()).promote(promote.term())) {
                recordStatus(database(promote.databaseId()));
            } else {
                session.group(GROUP).orElseThrow().failover().onPromoteRefused(promote.term());
            }
        } else if (effect instanceof FailoverEffect.Follow follow
                && database(follow.databaseId()).isResponsive()) {
            FakeDatabase database = database(follow.databaseId());
            if (database.follow(follow.term(), database(follow.primaryId()))) {
                recordStatus(database);
                session.group(GROUP)
                        .orElseThrow()
                        .failover()
                        .onFollowing(database.id, database.incarnation, follow.term());
            }
        } else if (effect instanceof FailoverEffect.Readmit readmit
                && database(readmit.databaseId()).isResponsive()) {
            database(readmit.databaseId()).readmit(readmit.term(), readmit.incarnation());
            recordStatus(database(readmit.databaseId()));
        }
    }

    private void recordStatus(FakeDatabase database) {
        registry.updateStatus(database.status());
        detector.recordContact(database.id);
        session.markChanged(List.of(GROUP));
    }

    private void apply(ControlCommand.Builder command) {
        lastIndex++;
        Optional<FailureException> failure = stateMachine
                .apply(ControlRecord.newBuilder()
                        .setIndex(lastIndex)
                        .setTerm(leaderTerm)
                        .setCommand(command.setProposedAtMs(clock.millis()))
                        .build())
                .failure();
        assertThat(failure).isEqualTo(Optional.empty());
    }

    private void completeProposal() {
        session.update(stateMachine.state());
        session.group(GROUP).orElseThrow().failover().onProposalCompleted();
    }

    private void checkInvariants() {
        long writableTerm = record().writable() ? record().term() : 0;
        for (FakeProxy proxy : proxies) {
            Optional<Long> term = proxy.writableTerm(GROUP);
            assertWithMessage("term of " + proxy.id + " while term " + writableTerm + " is open for writes")
                    .that(term.orElse(writableTerm))
                    .isAtLeast(writableTerm);
        }
        for (FakeDatabase database : databases) {
            assertWithMessage("holders of " + database.id)
                    .that(proxies.stream()
                            .filter(proxy -> proxy.holds(GROUP, database.id))
                            .count())
                    .isAtMost(1);
        }
        long primariesOfCurrentTerm = databases.stream()
                .filter(database -> database.role == DatabaseRole.PRIMARY && database.term == record().term())
                .count();
        assertThat(primariesOfCurrentTerm).isAtMost(1);
    }
}
