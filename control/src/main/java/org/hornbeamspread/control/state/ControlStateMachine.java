package org.hornbeamspread.control.state;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.control.StateMachine;
import org.hornbeamspread.core.configuration.ConfigurationStore;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ChangePendingResumes;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlMember;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.GroupTerm;
import org.hornbeamspread.protocol.schema.PendingInstanceResume;
import org.hornbeamspread.protocol.schema.RegisteredDatabase;
import org.hornbeamspread.protocol.schema.ReinstatedInstance;
import org.hornbeamspread.protocol.schema.ReplaceConfiguration;
import org.hornbeamspread.protocol.schema.RouteConfigurationDocument;
import org.hornbeamspread.protocol.schema.SetDepartures;
import org.hornbeamspread.transport.RouteMessages;

/**
 * Applies the records of the control log. The outcome depends on the records only, not on a clock, a random number or
 * the iteration order of a hash table. Used by the consensus thread, which may call {@link #state()} at any time and
 * pass the immutable result to other threads.
 */
public final class ControlStateMachine implements StateMachine {
    /** The time for which the outcome of a request id is kept. */
    public static final Duration REQUEST_RETENTION = Duration.ofHours(24);

    private final ConfigurationStore configuration = new ConfigurationStore();
    private final NavigableMap<String, GroupTerm> groups = new TreeMap<>();
    private final NavigableMap<String, RegisteredDatabase> databases = new TreeMap<>();
    private final NavigableSet<String> departingDatabaseIds = new TreeSet<>();
    private final InstanceRegistry instances = new InstanceRegistry();
    private RouteConfigurationDocument routes = RouteConfigurationDocument.getDefaultInstance();
    private final RequestOutcomeTable requestOutcomes;
    private List<ControlMember> members = List.of();

    /** The result of the last {@link #state()}; null after a change until the next call. */
    private ControlState cachedState;

    /** Creates an empty state with the default retention of request ids. */
    public ControlStateMachine() {
        this(REQUEST_RETENTION);
    }

    /** Creates an empty state. */
    public ControlStateMachine(Duration requestRetention) {
        this.requestOutcomes = new RequestOutcomeTable(requestRetention);
    }

    @Override
    public CommandResult apply(ControlRecord record) {
        cachedState = null;
        ControlCommand command = record.getCommand();
        requestOutcomes.advanceTime(command.getProposedAtMs());
        if (command.getRequestId().isEmpty()) {
            return result(applyCommand(command));
        }
        Optional<CommandResult> first = requestOutcomes.find(command);
        if (first.isPresent()) {
            return first.get();
        }
        CommandResult result = result(applyCommand(command));
        requestOutcomes.put(command, result);
        return result;
    }

    /** The immutable state after all records applied so far. */
    public ControlState state() {
        if (cachedState == null) {
            cachedState = ControlState.newBuilder()
                    .setConfiguration(ConfigurationCodec.wire(configuration.current()))
                    .addAllGroups(groups.values())
                    .addAllDatabases(databases.values())
                    .addAllDepartingDatabaseIds(departingDatabaseIds)
                    .addAllRequests(requestOutcomes.entries())
                    .addAllMembers(members)
                    .setLatestProposedAtMs(requestOutcomes.latestProposedAtMs())
                    .setRoutes(routes)
                    .addAllInstances(
                            instances.all().stream().map(RouteMessages::toWire).toList())
                    .addAllDepartures(instances.departures().stream()
                            .map(RouteMessages::toWire)
                            .toList())
                    .addAllLostCopies(instances.lostCopies().stream()
                            .map(RouteMessages::toWire)
                            .toList())
                    .addAllNamedServices(instances.namedServices())
                    .build();
        }
        return cachedState;
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
        configuration.restore(ConfigurationCodec.declared(state.getConfiguration()));
        groups.clear();
        state.getGroupsList().forEach(group -> groups.put(group.getGroup(), group));
        databases.clear();
        state.getDatabasesList().forEach(database -> databases.put(database.getDatabaseId(), database));
        departingDatabaseIds.clear();
        departingDatabaseIds.addAll(state.getDepartingDatabaseIdsList());
        requestOutcomes.restore(state.getRequestsList(), state.getLatestProposedAtMs());
        members = state.getMembersList();
        routes = state.getRoutes();
        RouteMessages.restore(instances, state);
        cachedState = state;
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
            case CHANGE_PENDING_RESUMES -> changePendingResumes(command.getChangePendingResumes());
            case NO_OPERATION -> Optional.empty();
            case COMMAND_NOT_SET ->
                Optional.of(new FailureException(FailureType.INVALID_REQUEST, "a command of no known kind"));
        };
    }

    private Optional<FailureException> replaceConfiguration(ReplaceConfiguration change) {
        return configuration.replace(
                ConfigurationCodec.declared(change.getConfiguration()), change.getExpectedVersion());
    }

    /** Changes each group independently. If some changes are refused, fails with WRONG_TERM and lists those groups. */
    private Optional<FailureException> setGroupTerms(List<GroupTerm> changes) {
        NavigableSet<String> refused = new TreeSet<>();
        for (GroupTerm change : changes) {
            GroupTerm present = groups.getOrDefault(change.getGroup(), GroupTerm.getDefaultInstance());
            if (isValidTransition(present, change)) {
                groups.put(
                        change.getGroup(),
                        change.toBuilder()
                                .clearExpectedTerm()
                                .clearPendingResumes()
                                .addAllPendingResumes(present.getPendingResumesList())
                                .build());
            } else {
                refused.add(change.getGroup());
            }
        }
        return refused.isEmpty()
                ? Optional.empty()
                : Optional.of(new FailureException(FailureType.WRONG_TERM, String.join(",", refused)));
    }

    /**
     * Whether a change expects the current term and keeps two rules: the term never decreases, and a term has at most
     * one primary.
     */
    private static boolean isValidTransition(GroupTerm present, GroupTerm change) {
        if (change.getExpectedTerm() != present.getTerm() || change.getTerm() < present.getTerm()) {
            return false;
        }
        return change.getTerm() > present.getTerm()
                || present.getPrimaryId().isEmpty()
                || present.getPrimaryId().equals(change.getPrimaryId());
    }

    /**
     * Changes the pending resumes of a group. Fails with WRONG_TERM, and changes nothing, if resumes are added while another
     * term holds or a promotion is in progress: a replica that the promotion has paused must not be resumed.
     */
    private Optional<FailureException> changePendingResumes(ChangePendingResumes change) {
        GroupTerm present = groups.getOrDefault(change.getGroup(), GroupTerm.getDefaultInstance());
        boolean promoting = present.getTerm() > 0 && !present.getWritable();
        if (change.getAddedCount() > 0 && (promoting || change.getExpectedTerm() != present.getTerm())) {
            return Optional.of(new FailureException(FailureType.WRONG_TERM, change.getGroup()));
        }
        Set<PendingInstanceResume> pending = new LinkedHashSet<>(present.getPendingResumesList());
        pending.addAll(change.getAddedList());
        change.getEndedList().forEach(pending::remove);
        groups.put(
                change.getGroup(),
                present.toBuilder()
                        .setGroup(change.getGroup())
                        .clearPendingResumes()
                        .addAllPendingResumes(pending)
                        .build());
        return Optional.empty();
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

    /** Replaces the routes if the version is higher. A version that is not higher is ignored without a failure. */
    private Optional<FailureException> replaceRoutes(RouteConfigurationDocument change) {
        if (change.getVersion() > routes.getVersion()) {
            routes = change;
            instances.nameServices(RouteMessages.serviceNames(change));
        }
        return Optional.empty();
    }

    private Optional<FailureException> changeInstances(ChangeInstances change) {
        change.getEndedList().forEach(ended -> instances.end(RouteMessages.lostCopy(ended)));
        RouteMessages.usableInstances(change.getAnnouncedList()).forEach(instances::announce);
        for (ReinstatedInstance reinstated : change.getReinstatedList()) {
            RouteMessages.usableInstances(List.of(reinstated.getInstance()))
                    .forEach(running -> instances.reinstate(running, RouteMessages.displacedBornMs(reinstated)));
        }
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
