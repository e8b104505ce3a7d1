package org.hornbeamspread.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.hornbeamspread.core.misc.LogPosition;

/**
 * A database that may serve a read, as this proxy sees it now.
 *
 * @param databaseId its id
 * @param primary whether the view names it as the primary
 * @param usable reachable through a holder and not departing
 * @param proximity how far it is
 * @param applied the last position it was seen to have applied
 * @param ageBound the proven bound of that state's age; empty when nothing is proven
 * @param typicalLag how long a write usually takes from the primary to here; empty when not known
 * @param waitingStatements statements that wait or run there, for balance between equals
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
