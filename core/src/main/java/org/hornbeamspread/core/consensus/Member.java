package org.hornbeamspread.core.consensus;

/**
 * A member of the log.
 *
 * @param memberId its name, which outlives a lost disk
 * @param incarnation drawn when its disk was empty, 0 while it is not known; a member that lost its disk is another one
 * @param voting whether its votes and copies count
 */
public record Member(String memberId, long incarnation, boolean voting) {}
