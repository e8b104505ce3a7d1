package org.hornbeamspread.core.consensus;

import java.util.Optional;

/**
 * A record of the log.
 *
 * @param index its place, from 1
 * @param term the term of the leader that appended it
 * @param payload what it carries, empty for a leader's own first record
 * @param membership the members from this record on, when it changes them
 */
public record LogRecord(long index, long term, Payload payload, Optional<Membership> membership) {}
