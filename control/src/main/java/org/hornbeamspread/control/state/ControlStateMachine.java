package org.hornbeamspread.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.core.configuration.ConfigurationStore;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.RegisteredDatabase;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.hornbeamspread.transport.RouteMessages;

/**
 * Applies the control log's records. The outcome depends on the records alone: no clock, no random number, no order of
 * a hash table. Used by the consensus thread; {@link #state()} may be called by it at any time and gives an immutable
 * snapshot to hand to others.
 */
public final class ControlStateMachine implements StateMachine {
    /** How long a request id is remembered. */
    public static final Duration REPLAY_AGE = Duration.ofHours(24);

    private final ConfigurationStore configuration = new ConfigurationStore();
    private final NavigableMap<String, GroupTerm> groups = new TreeMap<>();
    private final NavigableMap<String, RegisteredDatabase> databases = new TreeMap<>();
    private final NavigableSet<String> departingDatabaseIds = new TreeSet<>();
    private final InstanceRegistry instances = new InstanceRegistry();
    private RouteConfigurationDocument routes = RouteConfigurationDocument.getDefaultInstance();
    private final ReplayTable requests;
    private List<ControlMember> members = List.of();

    /** The state built so far; null after a change until it is asked for again. */
    private ControlState built;

    /** Starts empty, with the usual age of request ids. */
    public ControlStateMachine() {
        this(REPLAY_AGE);
    }

    /** Starts empty. */
    public ControlStateMachine(Duration replayAge) {
        this.requests = new ReplayTable(replayAge);
    }

    @Override
    public CommandResult apply(ControlRecord record) {
        built = null;
        ControlCommand command = record.getCommand();
        requests.advance(command.getProposedAtMs());
        if (command.getRequestId().isEmpty()) {
            return result(applyCommand(command));
        }
        Optional<CommandResult> first = requests.find(command);
        if (first.isPresent()) {
            return first.get();
        }
        CommandResult result = result(applyCommand(command));
        requests.put(command, result);
        return result;
    }

    /** Everything applied so far, immutable. */
    public ControlState state() {
        if (built == null) {
            built = ControlState.newBuilder()
                    .setConfiguration(Configurations.wire(configuration.current()))
                    .addAllGroups(groups.values())
                    .addAllDatabases(databases.values())
                    .addAllDepartingDatabaseIds(departingDatabaseIds)
                    .addAllRequests(requests.entries())
                    .addAllMembers(members)
                    .setLatestProposedAtMs(requests.latestProposedAtMs())
                    .setRoutes(routes)
                    .addAllInstances(
                            instances.all().stream().map(RouteMessages::toWire).toList())
                    .addAllDepartures(instances.departures().stream()
                            .map(RouteMessages::toWire)
                            .toList())
                    .addAllLostCopies(instances.lostCopies().stream()
                            .map(RouteMessages::toWire)
                            .toList())
                    .build();
        }
        return built;
    }

    @Override
    public ByteString snapshot() {
        return state().toByteString();
    }

    @Override
    public void restore(ByteString snapshot) {
        ControlState state;
        try {
            state = ControlState.parseFrom(snapshot);
        } catch (InvalidProtocolBufferException e) {
            throw new FailureException(FailureType.LOG_CORRUPTED, "snapshot of the state", e);
        }
        configuration.restore(Configurations.declared(state.getConfiguration()));
        groups.clear();
        state.getGroupsList().forEach(group -> groups.put(group.getGroup(), group));
        databases.clear();
        state.getDatabasesList().forEach(database -> databases.put(database.getDatabaseId(), database));
        departingDatabaseIds.clear();
        departingDatabaseIds.addAll(state.getDepartingDatabaseIdsList());
        requests.restore(state.getRequestsList(), state.getLatestProposedAtMs());
        members = state.getMembersList();
        routes = state.getRoutes();
        RouteMessages.restore(instances, state);
        built = state;
    }

    private CommandResult result(Optional<FailureException> failure) {
        return new CommandResult(configuration.current().version(), false, failure);
    }

    private Optional<FailureException> applyCommand(ControlCommand command) {
        return switch (command.getCommandCase()) {
            case REPLACE_CONFIGURATION -> replaceConfiguration(command.getReplaceConfiguration());
            case SET_GROUP_TERMS -> setGroupTerms(command.getSetGroupTerms().getGroupsList());
            case REGISTER_DATABASES ->
                registerDatabases(command.getRegisterDatabases().getDatabasesList());
            case SET_DEPARTURES -> setDepartures(command.getSetDepartures());
            case CHANGE_MEMBERS -> changeMembers(command.getChangeMembers().getMembersList());
            case REPLACE_ROUTES -> replaceRoutes(command.getReplaceRoutes());
            case CHANGE_INSTANCES -> changeInstances(command.getChangeInstances());
            case NO_OPERATION -> Optional.empty();
            case COMMAND_NOT_SET ->
                Optional.of(new FailureException(FailureType.INVALID_REQUEST, "a command of no known kind"));
        };
    }

    private Optional<FailureException> replaceConfiguration(ReplaceConfiguration change) {
        return configuration.replace(Configurations.declared(change.getConfiguration()), change.getExpectedVersion());
    }

    /** Each group is decided alone; the result fails with WRONG_TERM and names the groups that were passed over. */
    private Optional<FailureException> setGroupTerms(List<GroupTerm> changes) {
        NavigableSet<String> refused = new TreeSet<>();
        for (GroupTerm change : changes) {
            GroupTerm present = groups.getOrDefault(change.getGroup(), GroupTerm.getDefaultInstance());
            if (mayFollow(present, change)) {
                groups.put(
                        change.getGroup(),
                        change.toBuilder().clearExpectedTerm().build());
            } else {
                refused.add(change.getGroup());
            }
        }
        return refused.isEmpty()
                ? Optional.empty()
                : Optional.of(new FailureException(FailureType.WRONG_TERM, String.join(",", refused)));
    }

    /** The term never goes back, and a term has one primary at most. */
    private static boolean mayFollow(GroupTerm present, GroupTerm change) {
        if (change.getExpectedTerm() != present.getTerm() || change.getTerm() < present.getTerm()) {
            return false;
        }
        return change.getTerm() > present.getTerm()
                || present.getPrimaryId().isEmpty()
                || present.getPrimaryId().equals(change.getPrimaryId());
    }

    private Optional<FailureException> registerDatabases(List<RegisteredDatabase> changes) {
        changes.forEach(database -> databases.put(database.getDatabaseId(), database));
        return Optional.empty();
    }

    private Optional<FailureException> setDepartures(SetDepartures change) {
        if (change.getDeparting()) {
            departingDatabaseIds.addAll(change.getDatabaseIdsList());
        } else {
            change.getDatabaseIdsList().forEach(departingDatabaseIds::remove);
        }
        return Optional.empty();
    }

    /** The highest version wins; one that is not higher changes nothing, and is not refused. */
    private Optional<FailureException> replaceRoutes(RouteConfigurationDocument change) {
        if (change.getVersion() > routes.getVersion()) {
            routes = change;
        }
        return Optional.empty();
    }

    private Optional<FailureException> changeInstances(ChangeInstances change) {
        change.getAnnouncedList().forEach(announced -> instances.announce(RouteMessages.instance(announced)));
        change.getDepartedList().forEach(departed -> instances.depart(RouteMessages.departure(departed)));
        instances.markRecovered(
                change.getRecoveredList().stream().map(RouteMessages::lostCopy).toList());
        return Optional.empty();
    }

    private Optional<FailureException> changeMembers(List<ControlMember> change) {
        members = List.copyOf(change);
        return Optional.empty();
    }
}
