package org.hornbeamspread.control.state;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamspread.control.CommandResult;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ReplayedRequest;
import org.hornbeamspread.transport.Envelopes;

/**
 * The first outcome of each request id, which is returned again to a retry of the request. Entries expire by age. The
 * age is relative to the latest time in the records, not to a clock, so every member drops an entry at the same record.
 */
final class RequestOutcomeTable {
    private final long maxAgeMs;
    private final Map<String, ReplayedRequest> outcomes = new LinkedHashMap<>();
    private long latestProposedAtMs;

    RequestOutcomeTable(Duration maxAge) {
        this.maxAgeMs = maxAge.toMillis();
    }

    /** Advances the time of the table and drops expired entries. */
    void advanceTime(long proposedAtMs) {
        latestProposedAtMs = Math.max(latestProposedAtMs, proposedAtMs);
        Iterator<ReplayedRequest> oldestFirst = outcomes.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().getProposedAtMs() < latestProposedAtMs - maxAgeMs) {
            oldestFirst.remove();
        }
    }

    /**
     * The stored outcome for the request id of a command; empty for a new request id. The outcome is a
     * REQUEST_ID_REUSED failure if the earlier command with this request id had another body.
     */
    Optional<CommandResult> find(ControlCommand command) {
        ReplayedRequest first = outcomes.get(command.getRequestId());
        if (first == null) {
            return Optional.empty();
        }
        if (!first.getBodyDigest().equals(digest(command))) {
            FailureException reused = new FailureException(FailureType.REQUEST_ID_REUSED, command.getRequestId());
            return Optional.of(new CommandResult(first.getVersion(), false, Optional.of(reused)));
        }
        Optional<FailureException> failure =
                first.hasFailure() ? Optional.of(Envelopes.exception(first.getFailure())) : Optional.empty();
        return Optional.of(new CommandResult(first.getVersion(), true, failure));
    }

    /** Stores a first outcome. The entry is given the time of the table, so that the entries stay ordered by age. */
    void put(ControlCommand command, CommandResult result) {
        ReplayedRequest.Builder request = ReplayedRequest.newBuilder()
                .setRequestId(command.getRequestId())
                .setVersion(result.version())
                .setProposedAtMs(latestProposedAtMs)
                .setBodyDigest(digest(command));
        result.failure().ifPresent(failure -> request.setFailure(Envelopes.failure(failure)));
        outcomes.put(command.getRequestId(), request.build());
    }

    List<ReplayedRequest> entries() {
        return List.copyOf(outcomes.values());
    }

    long latestProposedAtMs() {
        return latestProposedAtMs;
    }

    void restore(List<ReplayedRequest> entries, long latestMs) {
        outcomes.clear();
        entries.forEach(entry -> outcomes.put(entry.getRequestId(), entry));
        latestProposedAtMs = latestMs;
    }

    private static ByteString digest(ControlCommand command) {
        byte[] body =
                command.toBuilder().clearRequestId().clearProposedAtMs().build().toByteArray();
        return ByteString.copyFrom(Hashing.sha256().hashBytes(body).asBytes());
    }
}
