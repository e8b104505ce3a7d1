package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * A database that may serve a read, according to this proxy's current state.
 *
 * @param databaseId the id of the database
 * @param primary whether the view names the database as the primary
 * @param usable whether the database is reachable through a holder and not departing
 * @param proximity network distance from this proxy
 * @param applied the last position that the database reported as applied
 * @param stalenessBound the proven upper bound of the staleness at that position; empty when no bound is proven
 * @param typicalLag the usual time that a write takes from the primary to this database; empty when unknown
 * @param waitingStatements statements that wait or run at the database, to balance between equally near databases
 */
public record ReadCandidate(
        String databaseId,
        boolean primary,
        boolean usable,
        Proximity proximity,
        LogPosition applied,
        Optional<Duration> stalenessBound,
        Optional<Duration> typicalLag,
        int waitingStatements) {}
