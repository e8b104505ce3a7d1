package org.hornbeamspread.emulator;

import java.util.List;
import java.util.Optional;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.DatabaseRole;
import org.hornbeamspread.protocol.schema.LogEntry;
import org.hornbeamspread.protocol.schema.LogRead;
import org.hornbeamspread.protocol.schema.PositionReport;
import org.hornbeamspread.protocol.schema.ReadLog;
import org.hornbeamspread.protocol.schema.Statement;
import org.hornbeamspread.transport.Envelopes;

/**
 * The log, rows, terms and role of one database; no threads and no sockets.
 *
 * <p>Terms order the primaries of a group. A fence raises the database's term: from then on it takes neither writes nor
 * entries of a lower term, so a replaced primary can't gather another holder here. Only a database that is fenced at
 * exactly a term can be promoted at it, and it starts its reign with a marker entry of the term. A replica accepts a
 * primary's log in two steps: it finds the last place where both logs agree, sets its own entries behind that place
 * aside, and only then counts as having followed the term. Entries of different terms never share a position, so two
 * logs that agree at one position agree on everything before it.
 *
 * <p>Terms, fences and trust are on disk before the method that changes them returns.
 */
final class DatabaseState {
    private final DatabaseDisk disk;
    private final RowFault fault;
    private final DatabaseLog log = new DatabaseLog();
    private final RowStore rows = new RowStore();
    private DatabaseMetadata metadata;
    private boolean primary;

    /** The marker entry of this database's own reign; NONE unless it is a primary. */
    private LogPosition marker = LogPosition.NONE;

    /** Entries with writes that were applied to the rows. */
    private long appliedWrites;

    /** Rebuilds the rows from the recovered log. */
    DatabaseState(DatabaseDisk disk, DatabaseMetadata metadata, List<LogEntry> recovered, RowFault fault) {
        this.disk = disk;
        this.fault = fault;
        this.metadata = metadata;
        disk.save(metadata);
        recovered.forEach(this::apply);
    }

    DatabaseMetadata metadata() {
        return metadata;
    }

    boolean isPrimary() {
        return primary;
    }

    /** The position of the last entry. */
    LogPosition lastPosition() {
        return log.lastPosition();
    }

    /** The position of an entry by index. */
    LogPosition positionAt(long index) {
        return log.positionAt((int) Math.min(index, log.size()));
    }

    /** The committed rows, for reads. */
    Rows rows() {
        return rows;
    }

    /** Raises the term and stops writes and entries of lower terms. Fails with WRONG_TERM unless the term is higher. */
    void fence(long term) {
        if (term <= metadata.term()) {
            throw wrongTerm(term);
        }
        save(metadata.fenced(term));
        demote();
    }

    /** Becomes primary and writes the marker; again at the same term returns it. Fails with WRONG_TERM. */
    LogPosition promote(long term) {
        if (primary && term == metadata.term()) {
            return marker;
        }
        if (term != metadata.fencedTerm() || term != metadata.term() || term == 0 || !metadata.trusted()) {
            throw wrongTerm(term);
        }
        LogEntry entry = LogEntry.newBuilder()
                .setPosition(Envelopes.position(nextPosition(term)))
                .setMarker(true)
                .build();
        disk.append(List.of(entry));
        apply(entry);
        save(metadata.promoted());
        primary = true;
        marker = log.lastPosition();
        return marker;
    }

    /** Becomes a replica at a term. Fails with WRONG_TERM at a lower term, or as the primary of this one. */
    void follow(long term) {
        if (term < metadata.term() || term == 0 || (primary && term == metadata.term())) {
            throw wrongTerm(term);
        }
        save(metadata.following(term));
        demote();
    }

    /**
     * Accepts the log of the term's primary, which agrees with this one up to {@code match}. Returns the entries behind
     * it, which are set aside. Fails with WRONG_TERM when the term is not this database's.
     */
    List<LogEntry> acceptLog(long term, LogPosition match) {
        if (term != metadata.term() || primary) {
            throw wrongTerm(term);
        }
        List<LogEntry> cut = List.of();
        if (match.indexEntries() < log.size()) {
            cut = log.truncate((int) match.indexEntries());
            disk.truncateLog(log.size(), cut);
            rebuildRows();
        }
        if (metadata.followedTerm() != term) {
            save(metadata.accepted());
        }
        return cut;
    }

    /** Appends entries of the primary's log, once it is accepted. Fails with WRONG_TERM or INVALID_POSITION. */
    void append(long term, List<LogEntry> entries) {
        if (term != metadata.term() || term != metadata.followedTerm() || primary) {
            throw wrongTerm(term);
        }
        disk.append(entries);
        entries.forEach(this::apply);
    }

    /** Trusts a database whose disk was lost, once it follows the term. Fails with WRONG_TERM. */
    void readmit(long term, long incarnation) {
        boolean caughtUp = term == metadata.term() && term == metadata.followedTerm();
        if (!caughtUp || incarnation != metadata.incarnation()) {
            throw wrongTerm(term);
        }
        save(metadata.readmitted());
    }

    /** Fails with WRONG_TERM or NOT_PRIMARY when a write of this term can't run here. */
    void checkWritable(long term) {
        if (term != metadata.term() || term == 0) {
            throw wrongTerm(term);
        }
        if (!primary) {
            throw new FailureException(FailureType.NOT_PRIMARY, "term " + term);
        }
    }

    /** The outcome of an earlier commit with this key. */
    Optional<CommitOutcome> findCommit(String idempotencyKey) {
        if (idempotencyKey.isEmpty()) {
            return Optional.empty();
        }
        return log.findByIdempotencyKey(idempotencyKey)
                .map(entry -> new CommitOutcome(entry.getResultsList(), Envelopes.position(entry.getPosition()), true));
    }

    /**
     * Commits a transaction, or returns the first outcome when the key is in the log. Fails with WRONG_TERM,
     * NOT_PRIMARY, INVALID_STATEMENT or STATEMENT_CONFLICT; nothing has changed then.
     */
    CommitOutcome commit(DatabaseTransaction transaction, String idempotencyKey) {
        if (transaction.readOnly()) {
            return new CommitOutcome(transaction.results(), log.lastPosition(), false);
        }
        checkWritable(transaction.term());
        Optional<CommitOutcome> earlier = findCommit(idempotencyKey);
        if (earlier.isPresent()) {
            return earlier.get();
        }
        List<Statement> writes = transaction.writes();
        if (writes.isEmpty() && idempotencyKey.isEmpty()) {
            return new CommitOutcome(transaction.results(), log.lastPosition(), false);
        }
        StatementRunner.runAll(new RowOverlay(rows), writes);
        LogEntry entry = LogEntry.newBuilder()
                .setPosition(Envelopes.position(nextPosition(metadata.term())))
                .setIdempotencyKey(idempotencyKey)
                .addAllStatements(writes)
                .addAllResults(idempotencyKey.isEmpty() ? List.of() : transaction.results())
                .build();
        disk.append(List.of(entry));
        apply(entry);
        return new CommitOutcome(transaction.results(), log.lastPosition(), false);
    }

    /** Answers a replica of this term. Fails with WRONG_TERM or NOT_PRIMARY. */
    LogRead readLog(ReadLog request) {
        checkWritable(request.getTerm());
        LogPosition after = Envelopes.position(request.getAfter());
        LogRead.Builder answer = LogRead.newBuilder()
                .setTerm(metadata.term())
                .setPrimaryPosition(Envelopes.position(log.lastPosition()))
                .setMatches(log.contains(after));
        if (answer.getMatches()) {
            answer.addAllEntries(log.entriesAfter((int) after.indexEntries(), request.getMaxEntries()));
        } else {
            answer.setMatchingIndex(log.lastIndexWithTermAtMost(after.term(), after.indexEntries()));
        }
        return answer.build();
    }

    /** The part of the report that this state knows. */
    PositionReport.Builder report() {
        PositionReport.Builder report = PositionReport.newBuilder()
                .setIncarnation(metadata.incarnation())
                .setTerm(metadata.term())
                .setRole(primary ? DatabaseRole.PRIMARY : DatabaseRole.REPLICA)
                .setFollowedTerm(metadata.followedTerm())
                .setSynced(Envelopes.position(log.lastPosition()))
                .setApplied(Envelopes.position(log.lastPosition()))
                .setTrusted(metadata.trusted());
        if (primary) {
            report.setMarker(Envelopes.position(marker));
        }
        return report;
    }

    private LogPosition nextPosition(long term) {
        return new LogPosition(term, log.size() + 1L);
    }

    private void apply(LogEntry entry) {
        log.append(entry);
        applyRows(entry);
    }

    private void applyRows(LogEntry entry) {
        StatementRunner.runAll(rows, entry.getStatementsList());
        if (entry.getStatementsCount() > 0) {
            appliedWrites++;
            fault.afterApply(rows, entry.getStatementsList(), appliedWrites);
        }
    }

    private void rebuildRows() {
        rows.clear();
        appliedWrites = 0;
        log.entriesAfter(0, log.size()).forEach(this::applyRows);
    }

    private void demote() {
        primary = false;
        marker = LogPosition.NONE;
    }

    private void save(DatabaseMetadata changed) {
        disk.save(changed);
        metadata = changed;
    }

    private FailureException wrongTerm(long term) {
        return new FailureException(
                FailureType.WRONG_TERM, "asked at " + term + ", here " + metadata.term() + " " + role());
    }

    private String role() {
        return (primary ? "primary" : "replica") + (metadata.trusted() ? "" : ", not trusted");
    }
}
