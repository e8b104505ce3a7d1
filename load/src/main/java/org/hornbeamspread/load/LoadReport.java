package org.hornbeamspread.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.FailureType;

/**
 * What a run gave.
 *
 * @param trial what was run
 * @param audit the comparison of ledger and databases
 * @param reads counts of the reads that were answered
 * @param gapMsByGroup the failover gap of each group, see {@link FailoverGap}
 * @param affectedGroups the groups that the fault hits
 * @param configurationInForceMs from sending a configuration until every live proxy had it; empty when not measured
 * @param interRegionBytes bytes that crossed the link between regions during the run; empty when not measured
 * @param ranks what each rank got, most urgent first
 * @param refusals answers with a failure, tries without an answer included, by type
 * @param notSent requests that met the load tool's own bound on requests in flight; each counts as refused
 */
record LoadReport(
        Scenario scenario,
        Audit.Result audit,
        ReadCounts reads,
        Map<String, Long> gapMsByGroup,
        List<String> affectedGroups,
        OptionalLong configurationInForceMs,
        OptionalLong interRegionBytes,
        List<RankReport> ranks,
        Map<FailureType, Long> refusals,
        long notSent) {
    LoadReport {
        gapMsByGroup = Map.copyOf(gapMsByGroup);
        affectedGroups = List.copyOf(affectedGroups);
        ranks = List.copyOf(ranks);
        refusals = Map.copyOf(refusals);
    }

    /**
     * What was run.
     *
     * @param user whose workload
     * @param seed of the arrivals and of every choice
     * @param fault what was injected
     * @param seconds how long requests arrived
     * @param faultAtSeconds when the fault came, since the start; negative for none
     */
    record Scenario(String user, long seed, String fault, int seconds, double faultAtSeconds) {}

    /** Whether every promise that the tool checks was kept. */
    boolean passed() {
        return audit.isConsistent() && reads.violations() == 0;
    }

    /** The longest gap of the affected groups. */
    long failoverGapMs() {
        return affectedGroups.stream()
                .mapToLong(group -> gapMsByGroup.getOrDefault(group, 0L))
                .max()
                .orElse(0);
    }
}
