package org.hornbeamspread.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The recent usage of slot time by each workspace of a rank, as a fraction of all slot time, and the fraction that a workspace
 * can get beside the others. Confined to one thread.
 */
final class WorkspaceUsage {
    /** A usage below this fraction is dropped: a tenth of the smallest share that an estimate of a wait assumes for a rank. */
    private static final double NEGLIGIBLE_FRACTION = 0.001;

    private final double windowNs;
    private final Map<String, Usage> usages = new HashMap<>();
    private double nowNs;

    /** An exponentially decaying average. */
    private static final class Usage {
        private double weight;
        private double fraction;
        private double updatedAtNs;
    }

    WorkspaceUsage(double windowNs) {
        this.windowNs = windowNs;
    }

    void advance(double elapsedNs) {
        nowNs += elapsedNs;
    }

    /** Adds slot time that a workspace has used. */
    void record(WorkspaceShare share, double usedFraction) {
        Usage usage = usages.get(share.workspace());
        if (usage == null) {
            usages.values().removeIf(other -> currentFraction(other) < NEGLIGIBLE_FRACTION);
            usage = new Usage();
            usages.put(share.workspace(), usage);
        }
        usage.fraction = currentFraction(usage) + usedFraction;
        usage.updatedAtNs = nowNs;
        usage.weight = share.weight();
    }

    /**
     * The fraction of all slot time that a workspace gets if it always has requests waiting, and the others continue to use
     * what they used recently, as far as the weights entitle them to it (max-min fairness).
     *
     * @param availableFraction what the rank can get
     */
    double attainableFraction(WorkspaceShare share, double availableFraction) {
        Map<String, Usage> limited = new HashMap<>(usages);
        limited.remove(share.workspace());
        double available = availableFraction;
        double totalWeight = share.weight()
                + limited.values().stream().mapToDouble(usage -> usage.weight).sum();
        boolean changed = true;
        while (changed && !limited.isEmpty()) {
            double fractionPerWeight = available / totalWeight;
            double used = 0;
            double weight = 0;
            for (Usage usage : limited.values()) {
                if (currentFraction(usage) <= fractionPerWeight * usage.weight) {
                    used += currentFraction(usage);
                    weight += usage.weight;
                }
            }
            changed = limited.values().removeIf(usage -> currentFraction(usage) <= fractionPerWeight * usage.weight);
            available -= used;
            totalWeight -= weight;
        }
        return limited.isEmpty() ? available : available * share.weight() / totalWeight;
    }

    private double currentFraction(Usage usage) {
        return usage.fraction * Math.exp((usage.updatedAtNs - nowNs) / windowNs);
    }
}
