package org.hornbeamspread.core.configuration;

/**
 * A database group.
 *
 * @param name the group's name
 * @param databases the number of databases in the group
 * @param slotsPerDatabase the number of statements that a database executes concurrently
 * @param connectionsPerDatabase the number of connections that a database accepts
 */
public record DatabaseGroup(String name, int databases, int slotsPerDatabase, int connectionsPerDatabase) {}
