package org.hornbeamspread.core.consensus;

import java.util.Optional;

/**
 * A record of the log.
 *
 * @param index the position in the log, from 1
 * @param term the term of the leader that appended it
 * @param payload the payload, empty for the first record of a leader's term
 * @param membership the membership from this record on; empty unless the record changes it
 */
public record LogRecord(long index, long term, Payload payload, Optional<Membership> membership) {}
