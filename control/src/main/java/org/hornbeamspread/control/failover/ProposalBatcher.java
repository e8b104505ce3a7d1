package org.hornbeamspread.control.failover;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.ReplicatedLog;
import org.hornbeamspread.control.view.ViewMessages;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRecord;
import org.hornbeamspread.core.failover.FailoverEffect.AppendRegistrations;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.RegisterDatabases;
import org.hornbeamspread.protocol.schema.SetGroupTerms;

/**
 * Batches the appends of all groups in one step into one log record of each kind, so that the loss of a failure domain,
 * which affects many groups simultaneously, needs few records. Confined to the coordinator's thread.
 */
final class ProposalBatcher {
    private final ReplicatedLog log;
    private final Clock clock;
    private final Consumer<ControlEvent> events;
    private final ControlMetrics metrics;
    private SetGroupTerms.Builder groupTerms = SetGroupTerms.newBuilder();
    private RegisterDatabases.Builder registrations = RegisterDatabases.newBuilder();
    private List<String> groupTermGroups = new ArrayList<>();
    private List<String> registrationGroups = new ArrayList<>();

    ProposalBatcher(ReplicatedLog log, Clock clock, Consumer<ControlEvent> events, ControlMetrics metrics) {
        this.log = log;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
    }

    void add(AppendRecord append) {
        groupTerms.addGroups(ViewMessages.toWire(append.nextRecord(), append.expectedTerm()));
        groupTermGroups.add(append.nextRecord().group());
    }

    void add(String group, AppendRegistrations append) {
        append.registrations()
                .forEach(registration -> registrations.addDatabases(ViewMessages.toWire(registration, group)));
        registrationGroups.add(group);
    }

    /** Proposes the batched appends. ProposalCompleted follows for each proposal, whether it succeeded or failed. */
    void flush(long leaderTerm) {
        if (!registrationGroups.isEmpty()) {
            propose(command().setRegisterDatabases(registrations), leaderTerm, registrationGroups);
            registrations = RegisterDatabases.newBuilder();
            registrationGroups = new ArrayList<>();
        }
        if (!groupTermGroups.isEmpty()) {
            propose(command().setSetGroupTerms(groupTerms), leaderTerm, groupTermGroups);
            groupTerms = SetGroupTerms.newBuilder();
            groupTermGroups = new ArrayList<>();
        }
    }

    private ControlCommand.Builder command() {
        return ControlCommand.newBuilder().setProposedAtMs(clock.millis());
    }

    private void propose(ControlCommand.Builder command, long leaderTerm, List<String> groups) {
        log.propose(command.build()).whenComplete((result, error) -> {
            countFailure(result, error);
            events.accept(new ControlEvent.ProposalCompleted(leaderTerm, groups));
        });
    }

    private void countFailure(CommandResult result, Throwable error) {
        if (error != null) {
            metrics.countFailure(FailureException.of(error).type());
        } else {
            result.failure().ifPresent(failure -> metrics.countFailure(failure.type()));
        }
    }
}
