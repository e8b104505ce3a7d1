package org.hornbeamspread.core.consensus;

/**
 * A member of the log.
 *
 * @param memberId the member's name, unchanged after the loss of its disk
 * @param incarnation a number drawn when the disk was empty, 0 while unknown; a member that lost its disk has a new one
 * @param voting whether its votes and copies count
 */
public record Member(String memberId, long incarnation, boolean voting) {}
