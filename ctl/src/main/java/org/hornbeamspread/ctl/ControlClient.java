package org.hornbeamspread.ctl;

import com.google.protobuf.Message;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.http.RpcClient;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.Failure;
import org.hornbeamspread.transport.AddressTranslator;
import org.hornbeamspread.transport.Envelopes;

/**
 * Calls the control leader. A call may go to any member. A follower returns the endpoint of the leader, which is called
 * next; a member that cannot be reached is skipped. Every change carries a request id, so that a change whose answer was
 * lost can be sent again, also to another member, and gets its first outcome.
 */
final class ControlClient {
    private static final Duration ATTEMPT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration ROUND_DELAY = Duration.ofMillis(100);

    private final RpcClient rpcClient = new RpcClient();
    private final List<Endpoint> members;
    private final Duration timeout;
    private final Clock clock;
    private final Sleeper sleeper;

    /**
     * Index, modulo the number of members, of the member to call when no leader is named; starts with the first member.
     */
    private int nextMember;

    /** The leader named in the last failure; empty if that failure named none. */
    private Optional<Endpoint> namedLeader = Optional.empty();

    ControlClient(List<Endpoint> members, Duration timeout, Clock clock, Sleeper pause) {
        this.members = List.copyOf(members);
        this.timeout = timeout;
        this.clock = clock;
        this.sleeper = pause;
    }

    /**
     * Calls members until an attempt succeeds, fails with a failure that is not retryable, or the timeout has passed.
     * After the timeout, the call fails with the latest failure whose effect is unknown if any attempt had one, else
     * with the last failure.
     */
    <A extends Message> A call(String method, Message request, A answer, Function<A, Failure> failureOf) {
        Instant deadline = clock.instant().plus(timeout);
        Optional<FailureException> unknownOutcome = Optional.empty();
        for (int attempt = 1; ; attempt++) {
            try {
                return attempt("hornbeamspread.Operations/" + method, request, answer, failureOf);
            } catch (FailureException e) {
                if (!isRetryable(e.type())) {
                    throw e;
                }
                unknownOutcome = e.type().effect() == Effect.UNKNOWN ? Optional.of(e) : unknownOutcome;
                if (!clock.instant().isBefore(deadline)) {
                    throw unknownOutcome.orElse(e);
                }
                selectNextTarget(e);
            }
            if (attempt % members.size() == 0) {
                sleeper.sleep(ROUND_DELAY);
            }
        }
    }

    private <A extends Message> A attempt(String method, Message request, A answer, Function<A, Failure> failureOf) {
        Endpoint target = namedLeader.orElseGet(() -> members.get(nextMember % members.size()));
        try {
            A result = rpcClient
                    .call(target, method, request, answer, ATTEMPT_TIMEOUT)
                    .join();
            Failure failure = failureOf.apply(result);
            if (!failure.getType().isEmpty()) {
                throw Envelopes.exception(failure);
            }
            return result;
        } catch (RuntimeException e) {
            throw FailureException.of(e);
        }
    }

    /** Selects the leader named in a failure, else the next member, for the next attempt. */
    private void selectNextTarget(FailureException failure) {
        namedLeader = Optional.empty();
        nextMember++;
        if (failure.type() == FailureType.NOT_LEADER && !failure.detail().isEmpty()) {
            try {
                namedLeader = Optional.of(AddressTranslator.parse(failure.detail()));
            } catch (FailureException e) {
                namedLeader = Optional.empty();
            }
        }
    }

    private static boolean isRetryable(FailureType type) {
        return switch (type) {
            case NOT_LEADER, NO_LEADER, LEADERSHIP_LOST, CONNECTION_REFUSED, CONNECTION_LOST, REQUEST_TIMEOUT -> true;
            default -> false;
        };
    }
}
