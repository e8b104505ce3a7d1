package org.hornbeamspread.control;

import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;

/**
 * The result of applying a command, equal on every member.
 *
 * @param version the configuration version after the command
 * @param replayed whether this is the stored outcome of an earlier command with the same request id
 * @param failure the reason if the command was refused, for example VERSION_CONFLICT
 */
public record CommandResult(long version, boolean replayed, Optional<FailureException> failure) {}
