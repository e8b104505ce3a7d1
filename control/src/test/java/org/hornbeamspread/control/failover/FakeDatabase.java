package org.hornbeamspread.control.failover;

import java.util.Optional;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRole;
import org.hornbeamspread.core.membership.DatabaseStatus;
import org.hornbeamspread.core.misc.LogPosition;

/** A simulated database with terms, role and log position. Replication copies the primary's position immediately. */
final class FakeDatabase {
    final String id;
    final String failureDomain;
    long incarnation = 1;
    long term;
    long followedTerm;
    DatabaseRole role = DatabaseRole.REPLICA;
    LogPosition synced = LogPosition.NONE;
    Optional<LogPosition> marker = Optional.empty();
    boolean trusted = true;
    boolean departing;

    /** The process is running; the address of a stopped process refuses connections. */
    boolean running = true;

    /** The process is paused: connections can be opened, but requests get no response. */
    boolean frozen;

    /** All messages between the database and control are lost. */
    boolean partitioned;

    FakeDatabase(String id, String failureDomain) {
        this.id = id;
        this.failureDomain = failureDomain;
    }

    boolean isResponsive() {
        return running && !frozen && !partitioned;
    }

    boolean fence(long newTerm) {
        if (newTerm <= term) {
            return false;
        }
        term = newTerm;
        demote();
        return true;
    }

    boolean promote(long newTerm) {
        if (newTerm != term || !trusted || (followedTerm == newTerm && role != DatabaseRole.PRIMARY)) {
            return false;
        }
        if (role != DatabaseRole.PRIMARY) {
            synced = new LogPosition(newTerm, synced.indexEntries() + 1);
            marker = Optional.of(synced);
            role = DatabaseRole.PRIMARY;
            followedTerm = newTerm;
        }
        return true;
    }

    boolean follow(long newTerm, FakeDatabase primary) {
        if (newTerm < term || isPrimary(newTerm)) {
            return false;
        }
        term = newTerm;
        demote();
        if (primary.isPrimary(newTerm) && primary.running) {
            followedTerm = newTerm;
            synced = primary.synced;
        }
        return true;
    }

    void readmit(long readmittedTerm, long readmittedIncarnation) {
        trusted |= readmittedTerm == term && readmittedTerm == followedTerm && readmittedIncarnation == incarnation;
    }

    void restart() {
        incarnation++;
        running = true;
        frozen = false;
        demote();
    }

    void loseDisk() {
        restart();
        term = 0;
        followedTerm = 0;
        synced = LogPosition.NONE;
        trusted = false;
    }

    boolean isPrimary(long atTerm) {
        return role == DatabaseRole.PRIMARY && term == atTerm;
    }

    DatabaseStatus status() {
        return new DatabaseStatus(id, incarnation, term, role, followedTerm, synced, marker, trusted);
    }

    AnnouncedDatabase announcement(String group) {
        return new AnnouncedDatabase(
                group, new Address("127.0.0.1", 1), failureDomain, "addis", 5, 35, departing, status());
    }

    private void demote() {
        role = DatabaseRole.REPLICA;
        marker = Optional.empty();
    }
}
