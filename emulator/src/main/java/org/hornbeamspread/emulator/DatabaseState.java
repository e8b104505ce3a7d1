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
 * The log, rows, terms and role of one database, without threads or sockets.
 *
 * <p>Terms order the primaries of a group. A fence raises the database's term: after the fence the database accepts
 * neither writes nor entries of a lower term, so a replaced primary can't store further entries in it. A database can
 * be promoted only at exactly the term of its fence, and its first entry as primary is a marker entry of the term. A
 * replica accepts a primary's log in two steps: the last position at which both logs agree is determined, and the
 * replica's own entries after that position are set aside. Only after that does the term count as followed. Entries of
 * different terms never share a position, so two logs that agree at one position agree on everything before it.
 *
 * <p>Terms, fences and the trusted flag are on disk before the method that changes them returns.
 */
final class DatabaseState {
    private final DatabaseDisk disk;
    private final RowFault fault;
    private final DatabaseLog log = new DatabaseLog();
    private final RowStore rows = new RowStore();
    private DatabaseMetadata metadata;
    private boolean primary;

    /** The position of the marker entry with which this database became primary; NONE unless it is the primary. */
    private LogPosition marker = LogPosition.NONE;

    /** Number of entries with writes that were applied to the rows. */
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

    /** The position of the entry at an index, or of the last entry if the log is shorter. */
    LogPosition positionAt(long index) {
        return log.positionAt((int) Math.min(index, log.size()));
    }

    /** The committed rows. */
    Rows rows() {
        return rows;
    }

    /**
     * Raises the term and rejects writes and entries of lower terms. Fails with WRONG_TERM unless the term is higher.
     */
    void fence(long term) {
        if (term <= metadata.term()) {
            throw wrongTerm(term);
        }
        save(metadata.fenced(term));
        demote();
    }

    /**
     * Becomes primary and writes the marker entry. A repeated call at the same term returns the existing marker. Fails
     * with WRONG_TERM unless the database is trusted and fenced at exactly this term.
     */
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

    /**
     * Becomes a replica at a term. Fails with WRONG_TERM if the term is lower, or if this is the primary of the term.
     */
    void follow(long term) {
        if (term < metadata.term() || term == 0 || (primary && term == metadata.term())) {
            throw wrongTerm(term);
        }
        save(metadata.following(term));
        demote();
    }

    /**
     * Accepts the log of the term's primary, which agrees with this log up to {@code agreedPosition}. Removes the
     * entries after that position from the log, sets them aside and returns them. Fails with WRONG_TERM unless the
     * database is a replica at the term.
     */
    List<LogEntry> acceptLog(long term, LogPosition agreedPosition) {
        if (term != metadata.term() || primary) {
            throw wrongTerm(term);
        }
        List<LogEntry> removed = List.of();
        if (agreedPosition.indexEntries() < log.size()) {
            removed = log.truncate((int) agreedPosition.indexEntries());
            disk.truncateLog(log.size(), removed);
            rebuildRows();
        }
        if (metadata.followedTerm() != term) {
            save(metadata.accepted());
        }
        return removed;
    }

    /** Appends entries of the primary's log after the log was accepted. Fails with WRONG_TERM or INVALID_POSITION. */
    void append(long term, List<LogEntry> entries) {
        if (term != metadata.term() || term != metadata.followedTerm() || primary) {
            throw wrongTerm(term);
        }
        disk.append(entries);
        entries.forEach(this::apply);
    }

    /**
     * Marks a database that lost its disk as trusted again. Fails with WRONG_TERM if the term's log is not accepted yet
     * or the incarnation differs.
     */
    void readmit(long term, long incarnation) {
        boolean caughtUp = term == metadata.term() && term == metadata.followedTerm();
        if (!caughtUp || incarnation != metadata.incarnation()) {
            throw wrongTerm(term);
        }
        save(metadata.readmitted());
    }

    /** Fails with WRONG_TERM or NOT_PRIMARY if this database can't execute a write of the term. */
    void checkWritable(long term) {
        if (term != metadata.term() || term == 0) {
            throw wrongTerm(term);
        }
        if (!primary) {
            throw new FailureException(FailureType.NOT_PRIMARY, "term " + term);
        }
    }

    /** The outcome of an earlier commit with this idempotency key. */
    Optional<CommitOutcome> findCommit(String idempotencyKey) {
        if (idempotencyKey.isEmpty()) {
            return Optional.empty();
        }
        return log.findByIdempotencyKey(idempotencyKey)
                .map(entry -> new CommitOutcome(entry.getResultsList(), Envelopes.position(entry.getPosition()), true));
    }

    /**
     * Commits a transaction, or returns the first outcome if the key is already in the log. Fails with WRONG_TERM,
     * NOT_PRIMARY, INVALID_STATEMENT or STATEMENT_CONFLICT, and changes nothing in that case.
     */
    CommitOutcome commit(DatabaseTransaction transaction, String idempotencyKey) {
        if (transaction.readOnly()) {
            return new CommitOutcome(transaction.results(), log.lastPosition(), false);
        }
        checkWritable(transaction.term());
        Optional<CommitOutcome> previousOutcome = findCommit(idempotencyKey);
        if (previousOutcome.isPresent()) {
            return previousOutcome.get();
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

    /** Serves a log read of a replica at this term. Fails with WRONG_TERM or NOT_PRIMARY. */
    LogRead readLog(ReadLog request) {
        checkWritable(request.getTerm());
        LogPosition after = Envelopes.position(request.getAfter());
        LogRead.Builder response = LogRead.newBuilder()
                .setTerm(metadata.term())
                .setPrimaryPosition(Envelopes.position(log.lastPosition()))
                .setMatches(log.contains(after));
        if (response.getMatches()) {
            response.addAllEntries(log.entriesAfter((int) after.indexEntries(), request.getMaxEntries()));
        } else {
            response.setMatchingIndex(log.lastIndexWithTermAtMost(after.term(), after.indexEntries()));
        }
        return response.build();
    }

    /** A position report with the fields that this state provides. */
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

    private void save(DatabaseMetadata newMetadata) {
        disk.save(newMetadata);
        metadata = newMetadata;
    }

    private FailureException wrongTerm(long term) {
        return new FailureException(
                FailureType.WRONG_TERM,
                "request at term " + term + ", database at term " + metadata.term() + " " + role());
    }

    private String role() {
        return (primary ? "primary" : "replica") + (metadata.trusted() ? "" : ", not trusted");
    }
}
