package org.hornbeamspread.core.configuration;

/**
 * A database group.
 *
 * @param name the group's name
 * @param databases how many databases it has
 * @param slotsPerDatabase how many statements a database runs at once
 * @param connectionsPerDatabase how many connections a database accepts
 */
public record DatabaseGroup(String name, int databases, int slotsPerDatabase, int connectionsPerDatabase) {}
