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
import org.hornbeamspread.runtime.DutyThread;

/**
 * The thread that writes and syncs. The consensus thread hands over one batch at a time and gathers the next one
 * meanwhile, so that the slower the disk, the larger the batches. A full disk is tried again at intervals; until it
 * takes the batch nothing is answered for. A failed disk is not tried again.
 */
final class DiskWriter {
    private static final Logger LOG = System.getLogger(DiskWriter.class.getName());
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int RING_CAPACITY = 16;

    private final DiskLog diskLog;
    private final MemberDirectory directory;
    private final Consumer<ConsensusEvent> eventListener;
    private final DutyThread<List<ConsensusEffect.Persist>> thread;

    /** What the next batch is made of; the consensus thread's. */
    private List<ConsensusEffect.Persist> nextBatch = new ArrayList<>();

    /** Whether a batch is with the disk thread; the consensus thread's. */
    private boolean isBatchInFlight;

    /** The batch that a full disk refused, empty otherwise; the disk thread's. */
    private List<ConsensusEffect.Persist> refusedBatch = List.of();

    private boolean failed;

    DiskWriter(String name, DiskLog disk, MemberDirectory directory, Consumer<ConsensusEvent> report) {
        this.diskLog = disk;
        this.directory = directory;
        this.eventListener = report;
        this.thread = new DutyThread<>(name, RING_CAPACITY, this::write, RETRY_INTERVAL, this::retryRefusedBatch);
    }

    void start() {
        thread.start();
    }

    /** Called by the consensus thread. */
    void persist(ConsensusEffect.Persist persist) {
        nextBatch.add(persist);
        submitNextBatch();
    }

    /** Called by the consensus thread when a batch was reported synced. */
    void onSynced() {
        isBatchInFlight = false;
        submitNextBatch();
    }

    void close() {
        thread.close();
        try {
            if (!thread.awaitStop(STOP_TIMEOUT)) {
                LOG.log(Level.WARNING, "the disk does not come back from a write");
                return;
            }
            diskLog.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void submitNextBatch() {
        if (!isBatchInFlight && !nextBatch.isEmpty() && thread.offer(nextBatch)) {
            isBatchInFlight = true;
            nextBatch = new ArrayList<>();
        }
    }

    private void write(List<ConsensusEffect.Persist> batch) {
        if (failed) {
            return;
        }
        try {
            diskLog.persist(batch, directory.all());
            if (!refusedBatch.isEmpty()) {
                LOG.log(Level.INFO, "the disk takes writes again");
            }
            refusedBatch = List.of();
            eventListener.accept(
                    new ConsensusEvent.Synced(batch.get(batch.size() - 1).persistId()));
        } catch (FailureException e) {
            onFailure(batch, e);
        }
    }

    private void onFailure(List<ConsensusEffect.Persist> batch, FailureException failure) {
        failed = failure.type() != FailureType.DISK_FULL;
        if (refusedBatch.isEmpty()) {
            LOG.log(Level.ERROR, "the disk refused a write", failure);
            eventListener.accept(new ConsensusEvent.StorageStalled(failure.type()));
        }
        refusedBatch = batch;
    }

    private void retryRefusedBatch() {
        if (!refusedBatch.isEmpty()) {
            write(refusedBatch);
        }
    }
}
