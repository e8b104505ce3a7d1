package org.hornbeamspread.core.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A model of a disk that holds the persists written to it. */
final class DiskModel {
    private final long incarnation;
    private Optional<Membership> initialMembership = Optional.empty();
    private ConsensusEffect.StoredVote vote = new ConsensusEffect.StoredVote(0, Optional.empty());
    private Snapshot snapshot = Snapshot.NONE;
    private long baseIndex;
    private long baseTerm;
    private final List<LogRecord> records = new ArrayList<>();

    DiskModel(long incarnation) {
        this.incarnation = incarnation;
    }

    long incarnation() {
        return incarnation;
    }

    void write(ConsensusEffect.Persist persist) {
        initialMembership = persist.initialMembership().or(() -> initialMembership);
        vote = persist.vote().orElse(vote);
        persist.rewrite().ifPresent(rewrite -> {
            snapshot = rewrite.snapshot();
            baseIndex = rewrite.baseIndex();
            baseTerm = rewrite.baseTerm();
            records.clear();
            records.addAll(rewrite.records());
        });
        for (LogRecord record : persist.records()) {
            int position = (int) (record.index() - baseIndex - 1);
            records.subList(position, records.size()).clear();
            records.add(record);
        }
    }

    StoredState stored() {
        return new StoredState(
                incarnation, initialMembership, vote.term(), vote.votedFor(), snapshot, baseIndex, baseTerm, records);
    }
}
