package org.hornbeamspread.control.state;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ChangePendingResumes;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.GroupDefinition;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.LostInstanceCopy;
import org.hornbeamspread.protocol.schema.PendingInstanceResume;
import org.hornbeamspread.protocol.schema.RankDefinition;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.ReinstatedInstance;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.ServiceDefinition;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.hornbeamspread.protocol.schema.SetGroupTerms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ControlStateMachineTest {
    private static final Duration REQUEST_RETENTION = Duration.ofSeconds(60);

    private final ControlStateMachine machine = new ControlStateMachine(REQUEST_RETENTION);
    private long nextIndex = 1;

    @Test
    void theFirstOfTwoChangesWithTheSameExpectedVersionWins() {
        assertThat(apply(machine, configurationChange("a", 0, 5, 0)).version()).isEqualTo(1);
        CommandResult second = apply(machine, configurationChange("b", 0, 7, 0));
        assertThat(failureType(second)).isEqualTo(Optional.of(FailureType.VERSION_CONFLICT));
        assertThat(machine.state().getConfiguration().getGroups(0).getSlotsPerDatabase())
                .isEqualTo(5);
    }

    /** The first outcome may also be a refusal. */
    @ParameterizedTest
    @CsvSource({"0, ", "4, VERSION_CONFLICT"})
    void aRetryReturnsTheFirstOutcomeAlsoAfterASnapshotRestore(long expectedVersion, FailureType failure) {
        CommandResult first = apply(machine, configurationChange("a", expectedVersion, 5, 0));
        apply(
                machine,
                configurationChange("b", machine.state().getConfiguration().getVersion(), 6, 1));
        ControlStateMachine restored = new ControlStateMachine(REQUEST_RETENTION);
        restored.restore(machine.snapshot());
        for (ControlStateMachine each : new ControlStateMachine[] {machine, restored}) {
            CommandResult retried = apply(each, configurationChange("a", expectedVersion, 5, 2));
            assertThat(retried.replayed()).isTrue();
            assertThat(retried.version()).isEqualTo(first.version());
            assertThat(failureType(retried)).isEqualTo(Optional.ofNullable(failure));
        }
    }

    @Test
    void aRequestIdCannotBeReusedForAnotherCommand() {
        apply(machine, configurationChange("a", 0, 5, 0));
        assertThat(failureType(apply(machine, configurationChange("a", 1, 6, 1))))
                .isEqualTo(Optional.of(FailureType.REQUEST_ID_REUSED));
        assertThat(machine.state().getConfiguration().getVersion()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"59999, true", "60001, false"})
    void aRequestIdExpiresByTheTimesInTheRecords(long laterMs, boolean replayed) {
        apply(machine, configurationChange("a", 0, 5, 0));
        assertThat(apply(machine, configurationChange("a", 0, 5, laterMs)).replayed())
                .isEqualTo(replayed);
    }

    @ParameterizedTest
    @CsvSource({
        "0, 1, '', true",
        "3, 4, '', true",
        "3, 3, p, true",
        "3, 3, q, false",
        "2, 4, '', false",
        "3, 2, '', false"
    })
    void aGroupTermNeverDecreasesAndHasOnePrimary(long expectedTerm, long term, String primaryId, boolean applied) {
        if (expectedTerm > 0) {
            apply(machine, groupTermChange(0, 3, ""));
            apply(machine, groupTermChange(3, 3, "p"));
        }
        CommandResult result = apply(machine, groupTermChange(expectedTerm, term, primaryId));
        assertThat(failureType(result)).isEqualTo(applied ? Optional.empty() : Optional.of(FailureType.WRONG_TERM));
        GroupTerm group = machine.state().getGroups(0);
        assertThat(group.getTerm()).isEqualTo(applied ? term : 3);
        assertThat(group.getPrimaryId()).isEqualTo(applied ? primaryId : "p");
    }

    /** A resume that is added during a promotion, or for another term, could end a pause on which the promotion relies. */
    @ParameterizedTest
    @CsvSource({"0, 0, false, true", "3, 3, true, true", "3, 3, false, false", "3, 2, true, false"})
    void pendingResumesAreAddedOnlyForTheTermThatIsConcluded(
            long term, long expectedTerm, boolean concluded, boolean applied) {
        if (term > 0) {
            apply(machine, groupTermChange(0, term, "p", concluded));
        }
        CommandResult result = apply(machine, pendingResumes(expectedTerm, List.of(resume("a", 1)), List.of()));

        assertThat(failureType(result)).isEqualTo(applied ? Optional.empty() : Optional.of(FailureType.WRONG_TERM));
        assertThat(machine.state().getGroupsList().stream().flatMap(group -> group.getPendingResumesList().stream()))
                .containsExactlyElementsIn(applied ? List.of(resume("a", 1)) : List.of());
    }

    @Test
    void pendingResumesSurviveChangesOfTheTermUntilTheyEnd() {
        apply(machine, groupTermChange(0, 3, "p", true));
        apply(machine, pendingResumes(3, List.of(resume("a", 1), resume("b", 1)), List.of()));
        apply(machine, pendingResumes(3, List.of(resume("a", 1), resume("a", 2)), List.of()));
        apply(machine, groupTermChange(3, 4, ""));
        apply(machine, pendingResumes(0, List.of(), List.of(resume("a", 1))));

        assertThat(machine.state().getGroups(0).getTerm()).isEqualTo(4);
        assertThat(machine.state().getGroups(0).getPendingResumesList())
                .containsExactly(resume("b", 1), resume("a", 2));
    }

    /**
     * Random changes, retries and snapshot restores: both members hold equal state, a retry returns the first outcome
     * and versions never decrease.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void membersHoldEqualStateAndVersionsNeverDecrease(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ControlStateMachine restarted = new ControlStateMachine(REQUEST_RETENTION);
        Map<String, CommandResult> firstOutcomes = new HashMap<>();
        long version = 0;
        for (int step = 0; step < 600; step++) {
            String requestId = "r" + random.nextInt(200);
            ControlCommand command = configurationChange(requestId, Math.max(0, version - random.nextInt(2)), 5, step);
            CommandResult result = apply(machine, command);
            assertWithMessage("seed %s", seed)
                    .that(describe(apply(restarted, command)))
                    .isEqualTo(describe(result));
            CommandResult first = firstOutcomes.putIfAbsent(requestId, result);
            if (first != null && result.replayed()) {
                assertThat(result.version()).isEqualTo(first.version());
                assertThat(failureType(result)).isEqualTo(failureType(first));
            } else if (first != null) {
                assertThat(failureType(result)).isEqualTo(Optional.of(FailureType.REQUEST_ID_REUSED));
            }
            long next = machine.state().getConfiguration().getVersion();
            assertThat(next).isAnyOf(version, version + 1);
            version = next;
            if (random.nextInt(20) == 0) {
                ByteString snapshot = machine.snapshot();
                restarted = new ControlStateMachine(REQUEST_RETENTION);
                restarted.restore(snapshot);
            }
            assertThat(restarted.state()).isEqualTo(machine.state());
        }
        assertThat(version).isGreaterThan(10);
    }

    @Test
    void departuresAreSetAndCleared() {
        apply(machine, departure(true));
        assertThat(machine.state().getDepartingDatabaseIdsList()).containsExactly("d1");
        apply(machine, departure(false));
        assertThat(machine.state().getDepartingDatabaseIdsList()).isEmpty();
    }

    @Test
    void lostCopiesAreKeptInSnapshotsUntilTheyAreRecovered() {
        apply(
                machine,
                announcement(
                        registeredInstance("a", 1, 100),
                        registeredInstance("b", 2, 100),
                        registeredInstance("c", 3, 100)));
        apply(
                machine,
                announcement(
                        registeredInstance("a", 1, 200),
                        registeredInstance("b", 2, 200),
                        registeredInstance("c", 3, 200)));
        apply(machine, announcement(registeredInstance("b", 2, 300)));
        ControlStateMachine restored = new ControlStateMachine(REQUEST_RETENTION);
        restored.restore(machine.snapshot());

        LostInstanceCopy bothOfB =
                lostCopy("b", 2, 200).toBuilder().setEarliestBornMs(100).build();
        for (ControlStateMachine each : List.of(machine, restored)) {
            assertThat(each.state().getLostCopiesList())
                    .containsExactly(lostCopy("a", 1, 100), bothOfB, lostCopy("c", 3, 100))
                    .inOrder();
            apply(each, recovery(lostCopy("a", 1, 100), lostCopy("b", 2, 100), lostCopy("b", 2, 200)));
            assertThat(each.state().getLostCopiesList())
                    .containsExactly(bothOfB, lostCopy("c", 3, 100))
                    .inOrder();
        }
        assertThat(restored.state()).isEqualTo(machine.state());
    }

    /** What was observed of one incarnation does not apply to another one that was registered before the command. */
    @ParameterizedTest
    @CsvSource({"200, 100", "150, 200", ", 200"})
    void aReinstatementNamesTheIncarnationThatItDisplaces(Long displacedBornMs, long expectedBornMs) {
        apply(machine, announcement(registeredInstance("a", 1, 100)));
        apply(machine, announcement(registeredInstance("a", 1, 200)));
        ReinstatedInstance.Builder reinstated =
                ReinstatedInstance.newBuilder().setInstance(registeredInstance("a", 1, 100));
        if (displacedBornMs != null) {
            reinstated.setDisplacedBornMs(displacedBornMs);
        }
        apply(
                machine,
                ControlCommand.newBuilder()
                        .setChangeInstances(ChangeInstances.newBuilder().addReinstated(reinstated))
                        .build());

        assertThat(machine.state().getInstancesList()).containsExactly(registeredInstance("a", 1, expectedBornMs));
        assertThat(machine.state().getLostCopiesCount()).isEqualTo(expectedBornMs == 100 ? 0 : 1);
    }

    @Test
    void restoringASnapshotWithoutLostCopiesClearsThem() {
        apply(machine, announcement(registeredInstance("a", 1, 100)));
        apply(machine, announcement(registeredInstance("a", 1, 200)));
        assertThat(machine.state().getLostCopiesList()).containsExactly(lostCopy("a", 1, 100));
        ControlState withoutLostCopies =
                machine.state().toBuilder().clearLostCopies().build();
        machine.restore(withoutLostCopies.toByteString());

        assertThat(machine.state()).isEqualTo(withoutLostCopies);
        apply(machine, announcement(registeredInstance("b", 2, 100)));
        assertThat(machine.state().getLostCopiesList()).isEmpty();
    }

    private CommandResult apply(ControlStateMachine target, ControlCommand command) {
        return target.apply(ControlRecord.newBuilder()
                .setIndex(nextIndex++)
                .setTerm(1)
                .setCommand(command)
                .build());
    }

    private static Optional<FailureType> failureType(CommandResult result) {
        return result.failure().map(FailureException::type);
    }

    private static String describe(CommandResult result) {
        return result.version() + " " + result.replayed() + " " + failureType(result);
    }

    private static ControlCommand configurationChange(
            String requestId, long expectedVersion, int slots, long proposedAtMs) {
        Configuration configuration = Configuration.newBuilder()
                .addRanks(RankDefinition.newBuilder()
                        .setName("urgent")
                        .setTargetMs(300)
                        .setWorth(100)
                        .setGuaranteedSharePercent(40))
                .addGroups(GroupDefinition.newBuilder()
                        .setName("g1")
                        .setDatabases(3)
                        .setSlotsPerDatabase(slots)
                        .setConnectionsPerDatabase(35))
                .addServices(ServiceDefinition.newBuilder()
                        .setName("ledger")
                        .addGroups("g1")
                        .setStalenessAllowanceMs(2_000)
                        .setDefaultTimeoutMs(1_000))
                .build();
        return ControlCommand.newBuilder()
                .setRequestId(requestId)
                .setProposedAtMs(proposedAtMs)
                .setReplaceConfiguration(ReplaceConfiguration.newBuilder()
                        .setConfiguration(configuration)
                        .setExpectedVersion(expectedVersion))
                .build();
    }

    private static ControlCommand groupTermChange(long expectedTerm, long term, String primaryId) {
        return groupTermChange(expectedTerm, term, primaryId, false);
    }

    private static ControlCommand groupTermChange(long expectedTerm, long term, String primaryId, boolean concluded) {
        return ControlCommand.newBuilder()
                .setSetGroupTerms(SetGroupTerms.newBuilder()
                        .addGroups(GroupTerm.newBuilder()
                                .setGroup("g1")
                                .setExpectedTerm(expectedTerm)
                                .setTerm(term)
                                .setPrimaryId(primaryId)
                                .setWritable(concluded)))
                .build();
    }

    private static ControlCommand pendingResumes(
            long expectedTerm, List<PendingInstanceResume> added, List<PendingInstanceResume> ended) {
        return ControlCommand.newBuilder()
                .setChangePendingResumes(ChangePendingResumes.newBuilder()
                        .setGroup("g1")
                        .setExpectedTerm(expectedTerm)
                        .addAllAdded(added)
                        .addAllEnded(ended))
                .build();
    }

    private static PendingInstanceResume resume(String databaseId, long leaderTerm) {
        return PendingInstanceResume.newBuilder()
                .setDatabaseId(databaseId)
                .setBornMs(1)
                .setLeaderTerm(leaderTerm)
                .build();
    }

    private static ControlCommand departure(boolean departing) {
        return ControlCommand.newBuilder()
                .setSetDepartures(
                        SetDepartures.newBuilder().addDatabaseIds("d1").setDeparting(departing))
                .build();
    }

    private static ControlCommand announcement(RegisteredInstance... announced) {
        return ControlCommand.newBuilder()
                .setChangeInstances(ChangeInstances.newBuilder().addAllAnnounced(List.of(announced)))
                .build();
    }

    private static ControlCommand recovery(LostInstanceCopy... copies) {
        return ControlCommand.newBuilder()
                .setChangeInstances(ChangeInstances.newBuilder().addAllRecovered(List.of(copies)))
                .build();
    }

    private static RegisteredInstance registeredInstance(String id, int port, long bornMs) {
        return RegisteredInstance.newBuilder()
                .setInstanceId(id)
                .setService("ledger")
                .setEndpoint(endpoint(port))
                .setBornMs(bornMs)
                .setSequence(1)
                .setSlots(2)
                .setFailureDomain("domain")
                .build();
    }

    private static LostInstanceCopy lostCopy(String id, int port, long bornMs) {
        return LostInstanceCopy.newBuilder()
                .setProcessEnded(true)
                .setInstanceId(id)
                .setService("ledger")
                .setEndpoint(endpoint(port))
                .setBornMs(bornMs)
                .build();
    }

    private static Endpoint endpoint(int port) {
        return Endpoint.newBuilder().setHost("10.0.0.1").setPort(port).build();
    }
}
