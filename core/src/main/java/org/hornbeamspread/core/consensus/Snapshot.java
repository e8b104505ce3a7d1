package org.hornbeamspread.core.consensus;

/**
 * The state after all records up to an index, which replaces those records.
 *
 * @param lastIndex the index of the last record included
 * @param lastTerm that record's term
 * @param membership the membership as of that record
 * @param state the serialized state
 */
public record Snapshot(long lastIndex, long lastTerm, Membership membership, Payload state) {
    /** The snapshot of an empty log. */
    public static final Snapshot NONE = new Snapshot(0, 0, Membership.NONE, Payload.EMPTY);
}
