package org.hornbeamspread.control.routes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hornbeamspread.core.failover.AcknowledgedCommits;
import org.hornbeamspread.core.failover.Seal;
import org.hornbeamspread.core.misc.LogPosition;
import org.hornbeamspread.protocol.schema.CommitReport;
import org.hornbeamspread.protocol.schema.SealedService;
import org.hornbeamspread.transport.Envelopes;

/**
 * The latest acknowledged commit of each service as proxies have reported it, and the seals in force. What a proxy has reported counts
 * also after the proxy is gone. Confined to the routes thread.
 */
final class ReportedCommits {
    private final Map<String, Report> reports = new HashMap<>();
    private final Map<String, Seal> seals = new TreeMap<>();

    /**
     * Commits of a service up to here are known to be missing in the log of the primary that leads; they cannot be recovered, and no promotion
     * waits for them.
     */
    private final Map<String, LogPosition> missing = new HashMap<>();

    /** The latest position that a primary has proven. */
    private final Map<String, LogPosition> provenPositions = new HashMap<>();

    private record Report(AcknowledgedCommits acknowledged, long receivedAtMs) {}

    /** Drops the seals of a replaced leader; what proxies have reported stays valid. */
    void onLeadershipGained() {
        seals.clear();
    }

    /** Sets or ends the seal of a service. Returns whether it has changed. */
    boolean seal(String service, Optional<Seal> seal) {
        Optional<Seal> previous = Optional.ofNullable(seals.get(service));
        seal.ifPresentOrElse(next -> seals.put(service, next), () -> seals.remove(service));
        return !previous.equals(seal);
    }

    List<SealedService> seals() {
        return seals.entrySet().stream()
                .map(entry -> SealedService.newBuilder()
                        .setService(entry.getKey())
                        .setFencingToken(entry.getValue().token())
                        .setLogTerm(entry.getValue().logTerm())
                        .build())
                .toList();
    }

    /** Whether any seal is in force. */
    boolean hasSeals() {
        return !seals.isEmpty();
    }

    void onReport(CommitReport report, long nowMs) {
        String service = report.getService();
        AcknowledgedCommits reported = new AcknowledgedCommits(
                Envelopes.position(report.getCertain()), Envelopes.position(report.getPossible()));
        boolean knownMissing = missing.getOrDefault(service, LogPosition.NONE).covers(reported.certain())
                && !provenPositions.getOrDefault(service, LogPosition.NONE).covers(reported.certain());
        AcknowledgedCommits known = acknowledged(service);
        if (!knownMissing && !AcknowledgedCommits.max(known, reported).equals(known)) {
            reports.put(service, new Report(AcknowledgedCommits.max(known, reported), nowMs));
        }
    }

    /**
     * Handles the proof of a primary. Returns the position of an acknowledged commit that its log lacks although the commit was reported
     * before the proof was requested; empty if there is none. A log of a later term that is shorter than the position lacks it too.
     */
    Optional<LogPosition> onProof(String service, LogPosition position, long requestedAtMs) {
        provenPositions.put(service, position);
        Report report = reports.get(service);
        if (report == null
                || report.receivedAtMs() >= requestedAtMs
                || includes(position, report.acknowledged().certain())) {
            return Optional.empty();
        }
        reports.remove(service);
        missing.merge(service, report.acknowledged().possible(), LogPosition::max);
        return Optional.of(report.acknowledged().certain());
    }

    private static boolean includes(LogPosition end, LogPosition position) {
        return end.covers(position) && end.indexEntries() >= position.indexEntries();
    }

    AcknowledgedCommits acknowledged(String service) {
        Report report = reports.get(service);
        return report == null ? AcknowledgedCommits.NONE : report.acknowledged();
    }
}
