package org.hornbeamspread.control.consensus;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hornbeamspread.control.storage.DiskLog;
import org.hornbeamspread.core.consensus.ConsensusEffect;
import org.hornbeamspread.core.consensus.ConsensusEvent;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.runtime.EventLoopThread;

/**
 * The thread that writes and syncs. The consensus thread hands over one batch at a time and gathers the next one
 * meanwhile, so that the slower the disk, the larger the batches. A full disk is tried again at intervals; until it
 * takes the batch nothing is answered for. A failed disk is not tried again.
 */
final class DiskDuty {
    private static final Logger LOG = System.getLogger(DiskDuty.class.getName());
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    private static final Duration STOP_LIMIT = Duration.ofSeconds(10);
    private static final int RING_EVENTS = 16;

    private final DiskLog disk;
    private final MemberDirectory directory;
    private final Consumer<ConsensusEvent> report;
    private final EventLoopThread<List<ConsensusEffect.Persist>> thread;

    /** What the next batch is made of; the consensus thread's. */
    private List<ConsensusEffect.Persist> gathered = new ArrayList<>();

    /** Whether a batch is with the disk thread; the consensus thread's. */
    private boolean busy;

    /** The batch that a full disk refused, empty otherwise; the disk thread's. */
    private List<ConsensusEffect.Persist> refused = List.of();

    private boolean failed;

    DiskDuty(String name, DiskLog disk, MemberDirectory directory, Consumer<ConsensusEvent> report) {
        this.disk = disk;
        this.directory = directory;
        this.report = report;
        this.thread = new EventLoopThread<>(name, RING_EVENTS, this::write, RETRY_INTERVAL, this::retry);
    }

    void start() {
        thread.start();
    }

    /** Called by the consensus thread. */
    void persist(ConsensusEffect.Persist persist) {
        gathered.add(persist);
        handOver();
    }

    /** Called by the consensus thread when a batch was reported synced. */
    void onSynced() {
        busy = false;
        handOver();
    }

    void close() {
        thread.close();
        try {
            if (!thread.awaitStop(STOP_LIMIT)) {
                LOG.log(Level.WARNING, "the disk does not come back from a write");
                return;
            }
            disk.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handOver() {
        if (!busy && !gathered.isEmpty() && thread.offer(gathered)) {
            busy = true;
            gathered = new ArrayList<>();
        }
    }

    private void write(List<ConsensusEffect.Persist> batch) {
        if (failed) {
            return;
        }
        try {
            disk.persist(batch, directory.all());
            if (!refused.isEmpty()) {
                LOG.log(Level.INFO, "the disk takes writes again");
            }
            refused = List.of();
            report.accept(new ConsensusEvent.Synced(batch.get(batch.size() - 1).persistId()));
        } catch (FailureException e) {
            onFailure(batch, e);
        }
    }

    private void onFailure(List<ConsensusEffect.Persist> batch, FailureException failure) {
        failed = failure.type() != FailureType.DISK_FULL;
        if (refused.isEmpty()) {
            LOG.log(Level.ERROR, "the disk refused a write", failure);
            report.accept(new ConsensusEvent.StorageStalled(failure.type()));
        }
        refused = batch;
    }

    private void retry() {
        if (!refused.isEmpty()) {
            write(refused);
        }
    }
}
