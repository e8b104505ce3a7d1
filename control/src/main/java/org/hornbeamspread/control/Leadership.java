package org.hornbeamspread.control;

import java.util.Optional;

/**
 * Who leads the control log.
 *
 * @param term the consensus term
 * @param leaderId the leading member, empty when none is known
 * @param isLeader whether this member leads, and has applied a record of its own term
 */
public record Leadership(long term, Optional<String> leaderId, boolean isLeader) {}
