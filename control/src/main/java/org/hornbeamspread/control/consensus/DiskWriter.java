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
 * Writes and syncs on its own thread. The consensus thread submits one batch at a time and collects the next batch
 * meanwhile, so a slower disk leads to larger batches. A write that a full disk refuses is retried at an interval; the
 * batch is not acknowledged before the write succeeds. A failed disk is not retried.
 */
final class DiskWriter {
    private static final Logger LOG = System.getLogger(DiskWriter.class.getName());
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);
    private static final int RING_CAPACITY = 16;

    private final DiskLog diskLog;
    private final MemberDirectory directory;
    private final Consumer<ConsensusEvent> eventListener;
    private final EventLoopThread<List<ConsensusEffect.Persist>> thread;

    /** The batch being collected; used by the consensus thread only. */
    private List<ConsensusEffect.Persist> nextBatch = new ArrayList<>();

    /** Whether a batch was submitted and is not yet synced; used by the consensus thread only. */
    private boolean isBatchInFlight;

    /** The batch that the disk refused, empty if none; used by the disk thread only. */
    private List<ConsensusEffect.Persist> refusedBatch = List.of();

    private boolean failed;

    DiskWriter(String name, DiskLog diskLog, MemberDirectory directory, Consumer<ConsensusEvent> eventListener) {
        this.diskLog = diskLog;
        this.directory = directory;
        this.eventListener = eventListener;
        this.thread = new EventLoopThread<>(name, RING_CAPACITY, this::write, RETRY_INTERVAL, this::retryRefusedBatch);
    }

    void start() {
        thread.start();
    }

    /** Called by the consensus thread. */
    void persist(ConsensusEffect.Persist persist) {
        nextBatch.add(persist);
        submitNextBatch();
    }

    /** Called by the consensus thread on the event that a batch is synced. */
    void onSynced() {
        isBatchInFlight = false;
        submitNextBatch();
    }

    void close() {
        thread.close();
        try {
            if (!thread.awaitStop(STOP_TIMEOUT)) {
                LOG.log(Level.WARNING, "the disk thread did not finish a write in time");
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
                LOG.log(Level.INFO, "the disk accepts writes again");
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
            LOG.log(Level.ERROR, "a write to the disk failed", failure);
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
