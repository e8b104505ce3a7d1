package org.hornbeamspread.core.admission;

/** The queue of one rank, the credit from its guaranteed share, and the recent usage of slot time by its workspaces. */
final class RankState {
    /** Weight of the newest service time in the moving average. */
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final RankSettings settings;
    private int slots;
    private final WaitingQueue queue = WaitingQueue.fair();

    /** Slot time that the rank may take ahead of ranks of higher worth; negative after it took more. */
    private double creditNs;

    /** Fraction of all slot time that the rank used recently, as an exponentially decaying average. */
    private double usage;

    private final double usageWindowNs;
    private final WorkspaceUsage workspaceUsage;

    private double meanServiceNs;

    RankState(RankSettings settings, int slots, double initialServiceNs, double usageWindowNs) {
        this.usageWindowNs = usageWindowNs;
        this.workspaceUsage = new WorkspaceUsage(usageWindowNs);
        this.settings = settings;
        this.slots = slots;
        this.meanServiceNs = initialServiceNs;
    }

    void resize(int newSlots) {
        slots = newSlots;
    }

    RankSettings settings() {
        return settings;
    }

    WaitingQueue queue() {
        return queue;
    }

    double usage() {
        return usage;
    }

    WorkspaceUsage workspaceUsage() {
        return workspaceUsage;
    }

    double meanServiceNs() {
        return meanServiceNs;
    }

    /** Whether a request of the rank waits and credit is left. */
    boolean canSpendCredit() {
        return !queue.isEmpty() && creditNs > 0;
    }

    /**
     * Advances time: credit grows up to what the share earns in {@code creditWindowNs}, and past usage decays.
     */
    void advance(double elapsedNs, double creditWindowNs) {
        double earnedNs = settings.share() * slots * elapsedNs;
        creditNs = Math.min(settings.share() * slots * creditWindowNs, creditNs + earnedNs);
        usage *= Math.exp(-elapsedNs / usageWindowNs);
        workspaceUsage.advance(elapsedNs);
    }

    /** Deducts slot time from the credit. */
    void charge(double slotNs) {
        creditNs -= slotNs;
    }

    /** Records the service time of a completed request. */
    void recordService(WorkspaceShare share, double serviceNs) {
        double usedFraction = serviceNs / (slots * usageWindowNs);
        usage += usedFraction;
        workspaceUsage.record(share, usedFraction);
        queue.complete(share, serviceNs);
        meanServiceNs += SERVICE_TIME_WEIGHT * (serviceNs - meanServiceNs);
    }
}
