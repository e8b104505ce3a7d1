package org.hornbeamspread.core.configuration;

/**
 * A rank of work.
 *
 * @param name the rank's name
 * @param targetMs the latency that a request of this rank should keep
 * @param worth relative value of one request served within its target
 * @param guaranteedSharePercent share of capacity kept for this rank while others flood
 */
public record Rank(String name, int targetMs, int worth, int guaranteedSharePercent) {}
