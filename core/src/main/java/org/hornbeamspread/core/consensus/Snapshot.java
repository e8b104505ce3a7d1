package org.hornbeamspread.core.consensus;

/**
 * The state that all records up to one give, in place of them.
 *
 * @param lastIndex the last record in it
 * @param lastTerm that record's term
 * @param membership the members at that record
 * @param state the state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, Payload state) {
    /** Of an empty log. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.NONE, Payload.EMPTY);
}
