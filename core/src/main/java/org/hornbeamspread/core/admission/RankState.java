package org.hornbeamspread.core.admission;

/** The queue of one rank, the credit of its guaranteed share, and what it used of late. */
final class RankState {
    /** Weight of the newest service time in the mean. */
    private static final double SERVICE_TIME_WEIGHT = 0.05;

    private final RankSettings settings;
    private int slots;
    private final WaitingQueue queue = new WaitingQueue();

    /** Slot time that the rank may take ahead of worthier ones; below 0 when it took more. */
    private double creditNs;

    /** Part of all slots' time that the rank used, averaged over the recent past. */
    private double usage;

    private double meanServiceNs;

    RankState(RankSettings settings, int slots, double firstServiceNs) {
        this.settings = settings;
        this.slots = slots;
        this.meanServiceNs = firstServiceNs;
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

    /** Whether the rank waits and has credit of its share left. */
    boolean canSpendCredit() {
        return !queue.isEmpty() && creditNs > 0;
    }

    /** Time passes: credit grows up to what the share earns in {@code windowNs}; past use fades over that window. */
    void advance(double elapsedNs, double windowNs, double creditWindowNs) {
        double earnedNs = settings.share() * slots * elapsedNs;
        creditNs = Math.min(settings.share() * slots * creditWindowNs, creditNs + earnedNs);
        usage *= Math.exp(-elapsedNs / windowNs);
    }

    /** Takes slot time out of the credit. */
    void charge(double slotNs) {
        creditNs -= slotNs;
    }

    /** A request of the rank held a slot. */
    void recordService(double serviceNs, double windowNs) {
        usage += serviceNs / (slots * windowNs);
        meanServiceNs += SERVICE_TIME_WEIGHT * (serviceNs - meanServiceNs);
    }
}
