package org.hornbeamspread.core.configuration;

/**
 * A priority rank of requests.
 *
 * @param name the rank's name
 * @param targetMs the target latency of a request of this rank
 * @param worth the relative value of one request that is served within its target latency
 * @param guaranteedSharePercent the share of capacity reserved for this rank while other ranks are overloaded
 */
public record Rank(String name, int targetMs, int worth, int guaranteedSharePercent) {}
