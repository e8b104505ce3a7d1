package org.hornbeamspread.load;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamspread.core.misc.Effect;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.ExecuteResponse;
import org.hornbeamspread.transport.Envelopes;

/**
 * What one try brought.
 *
 * @param effect what is known of the try's effect
 * @param response the proxy's answer; empty when none came
 * @param failure the type of the failure; empty when it was done
 * @param retryAfter the pause that the proxy advises; zero for none
 */
record AttemptResult(
        Effect effect, Optional<ExecuteResponse> response, Optional<FailureType> failure, Duration retryAfter) {
    /** An answer of the method's own. A failure's type decides the effect, unless the answer itself is more careful. */
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

    /** No answer of the method's own. */
    static AttemptResult of(FailureException failure) {
        return new AttemptResult(
                failure.type().effect(),
                Optional.empty(),
                Optional.of(failure.type()),
                failure.retryAfter().orElse(Duration.ZERO));
    }
}
