package org.hornbeamspread.control;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;

/**
 * What applying a command gave, the same on every member.
 *
 * @param version the configuration version after it
 * @param replayed whether this is the first outcome of an earlier command with the same request id
 * @param failure a typed refusal, for example VERSION_CONFLICT
 */
public record CommandResult(long version, boolean replayed, Optional<FailureException> failure) {}
