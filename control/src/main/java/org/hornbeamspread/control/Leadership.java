package org.hornbeamspread.control;

import java.util.Optional;

/**
 * The leadership of the control log.
 *
 * @param term the consensus term
 * @param leaderId the id of the leader, empty when no leader is known
 * @param isLeader whether this member leads, and has applied a record of its own term
 */
public record Leadership(long term, Optional<String> leaderId, boolean isLeader) {}
