package org.hornbeamspread.load;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The results of a run.
 *
 * @param scenario the parameters of the run
 * @param audit the result of the comparison of the ledger with the databases
 * @param reads the counts of the served reads
 * @param gapMsByGroup the failover gap of each group, see {@link FailoverGap}
 * @param affectedGroups the groups that the fault affects
 * @param configurationInForceMs the time from sending a configuration until every live proxy applied it; empty when not
 *     measured
 * @param interRegionBytes bytes that crossed the link between regions during the run; empty when not measured
 * @param ranks the results of each rank, most urgent first
 * @param refusals the number of failed attempts by type of failure, including attempts without a response
 * @param notSent the number of requests that the load tool's limit on requests in flight ended; one that was never sent
 *     counts as refused
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
     * The parameters of a run.
     *
     * @param user the user whose workload ran
     * @param seed the seed of the arrivals and of all random choices
     * @param fault the name of the injected fault
     * @param seconds the duration of the arrivals, without the warm-up
     * @param faultAtSeconds the time of the fault since the start; negative for none
     */
    record Scenario(String user, long seed, String fault, int seconds, double faultAtSeconds) {}

    /** Whether every guarantee that the load tool checks held. */
    boolean passed() {
        return audit.isConsistent() && reads.violations() == 0;
    }

    /** The longest failover gap of the affected groups. */
    long failoverGapMs() {
        return affectedGroups.stream()
                .mapToLong(group -> gapMsByGroup.getOrDefault(group, 0L))
                .max()
                .orElse(0);
    }
}
