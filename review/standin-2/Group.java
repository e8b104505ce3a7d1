package review.standin2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The databases of one service: replication, commits that are acknowledged once one replica has received them, and promotion. All
 * state of the group and of its databases is guarded by this object's monitor.
 */
final class Group {
    static final long PROMOTE_MS = 600;

    /** A slow database receives at every step of this number. */
    private static final int SLOW_STEPS = 30;

    final String service;
    final Record record;
    final List<Database> databases = new ArrayList<>();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "group");
        thread.setDaemon(true);
        return thread;
    });
    private final Set<String> acknowledged = new HashSet<>();
    private final List<String> lost = new ArrayList<>();
    private long highestToken;
    private long steps;
    int promotions;

    Group(String service, Record record) {
        this.service = service;
        this.record = record;
    }

    /** Replication takes a step each 2 ms. */
    void start() {
        timer.scheduleAtFixedRate(this::replicate, 2, 2, TimeUnit.MILLISECONDS);
    }

    synchronized Database primary() {
        return databases.stream().filter(one -> one.up && one.primary).findFirst().orElse(null);
    }

    /** Records that a client has received the acknowledgement of the commit of a write. */
    synchronized void onAcknowledged(String id) {
        acknowledged.add(id);
    }

    synchronized int acknowledgedCount() {
        return acknowledged.size();
    }

    synchronized List<String> lost() {
        return List.copyOf(lost);
    }

    /** Handles POST /promote: 409 for a lower token than one seen before, or a database that does not run. */
    synchronized int promote(String id, long token) {
        Database target = databases.stream().filter(one -> one.id.equals(id) && one.up).findFirst().orElse(null);
        if (token < highestToken || target == null) {
            return 409;
        }
        highestToken = token;
        if (!target.primary) {
            timer.schedule(() -> lead(target), PROMOTE_MS, TimeUnit.MILLISECONDS);
        }
        return 200;
    }

    private synchronized void lead(Database target) {
        if (!target.up || target.primary) {
            return;
        }
        long term = 1 + databases.stream().mapToLong(one -> one.term).max().orElse(0);
        for (Database one : databases) {
            one.primary = false;
            one.pausedTerm = 0;
        }
        promotions++;
        target.primary = true;
        target.term = term;
        record.line("promoted " + target.id + " term " + term + " with " + target.log.size() + " commits");
        Set<String> held = new HashSet<>(target.log);
        for (String id : acknowledged) {
            if (!held.contains(id)) {
                lost.add(id);
                record.line("LOST " + id + ": acknowledged, not in the log of " + target.id);
            }
        }
        notifyAll();
        databases.forEach(Database::announceSoon);
    }

    private synchronized void replicate() {
        Database primary = primary();
        if (primary == null) {
            return;
        }
        steps++;
        for (Database one : databases) {
            boolean late = one.slow && steps % SLOW_STEPS != 0;
            if (one == primary || !one.up || one.pausedTerm > 0 || one.deaf || late) {
                continue;
            }
            int common = Math.min(one.log.size(), primary.log.size());
            while (common > 0 && !one.log.get(common - 1).equals(primary.log.get(common - 1))) {
                common--;
            }
            while (one.log.size() > common) {
                one.log.remove(one.log.size() - 1);
            }
            one.log.addAll(primary.log.subList(common, primary.log.size()));
            one.term = primary.term;
        }
        notifyAll();
    }

    /** Appends a commit and waits until a replica has received it; false if the database no longer leads. */
    synchronized boolean commit(Database primary, String id) throws InterruptedException {
        if (!primary.primary) {
            return false;
        }
        long term = primary.term;
        primary.log.add(id);
        while (databases.stream().noneMatch(one -> one != primary && one.up && one.log.contains(id))) {
            if (!primary.up || !primary.primary || primary.term != term) {
                return false;
            }
            wait(50);
        }
        return primary.up && primary.primary && primary.term == term;
    }
}
