package org.hornbeamspread.core.admission;

/** The queue of one rank, the credit from its guaranteed share, and its recent usage of slot time. */
final class RankState {
    /** Weight of the newest service time in the moving average. */
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final RankSettings settings;
    private int slots;
    private final WaitingQueue queue = new WaitingQueue();

    /** Slot time that the rank may take ahead of ranks of higher worth; negative after it took more. */
    private double creditNs;

    /** Fraction of all slot time that the rank used recently, as an exponentially decaying average. */
    private double usage;

    private double meanServiceNs;

    RankState(RankSettings settings, int slots, double initialServiceNs) {
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

    double meanServiceNs() {
        return meanServiceNs;
    }

    /** Whether a request of the rank waits and credit is left. */
    boolean canSpendCredit() {
        return !queue.isEmpty() && creditNs > 0;
    }

    /**
     * Advances time: credit grows up to what the share earns in {@code creditWindowNs}, and past usage decays over
     * {@code usageWindowNs}.
     */
    void advance(double elapsedNs, double usageWindowNs, double creditWindowNs) {
        double earnedNs = settings.share() * slots * elapsedNs;
        creditNs = Math.min(settings.share() * slots * creditWindowNs, creditNs + earnedNs);
        usage *= Math.exp(-elapsedNs / usageWindowNs);
    }

    /** Deducts slot time from the credit. */
    void charge(double slotNs) {
        creditNs -= slotNs;
    }

    /** Records the service time of a completed request. */
    void recordService(double serviceNs, double usageWindowNs) {
        usage += serviceNs / (slots * usageWindowNs);
        meanServiceNs += SERVICE_TIME_WEIGHT * (serviceNs - meanServiceNs);
    }
}
