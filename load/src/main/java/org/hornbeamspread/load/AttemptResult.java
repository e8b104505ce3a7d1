package org.hornbeamspread.load;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.Envelopes;

/**
 * The result of one attempt.
 *
 * @param effect the known effect of the attempt
 * @param response the proxy's response; empty when none was received
 * @param failure the type of the failure; empty when the attempt is DONE
 * @param retryAfter the pause before a retry that the proxy advises; zero for none
 */
record AttemptResult(
        Effect effect, Optional<ExecuteResponse> response, Optional<FailureType> failure, Duration retryAfter) {
    /**
     * The result of a response of the method. A failed attempt is NOT_RUN only when the response says so, else UNKNOWN.
     */
    static AttemptResult of(ExecuteResponse response) {
        if (response.getFailure().getType().isEmpty()
                && response.getEffect() == org.hornbeamspread.protocol.schema.Effect.DONE) {
            return new AttemptResult(Effect.DONE, Optional.of(response), Optional.empty(), Duration.ZERO);
        }
        FailureException failure = Envelopes.exception(response.getFailure());
        boolean notRun = response.getEffect() == org.hornbeamspread.protocol.schema.Effect.NOT_RUN;
        return new AttemptResult(
                notRun ? Effect.NOT_RUN : Effect.UNKNOWN,
                Optional.of(response),
                Optional.of(failure.type()),
                failure.retryAfter().orElse(Duration.ZERO));
    }

    /** The result of an attempt without a response of the method. The type of the failure decides the effect. */
    static AttemptResult of(FailureException failure) {
        return new AttemptResult(
                failure.type().effect(),
                Optional.empty(),
                Optional.of(failure.type()),
                failure.retryAfter().orElse(Duration.ZERO));
    }
}
