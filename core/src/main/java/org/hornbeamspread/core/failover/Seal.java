package org.hornbeamspread.core.failover;

/**
 * The request to all proxies that no commit of a primary that may be about to be replaced is acknowledged any more.
 *
 * @param token the token of the promotion
 * @param logTerm the latest term of the group's log known to control; commits of later terms are acknowledged
 */
public record Seal(long token, long logTerm) {}
