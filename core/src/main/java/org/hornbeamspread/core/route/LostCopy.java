package org.hornbeamspread.core.route;

import java.util.Optional;
import org.hornbeamspread.core.membership.Address;

/**
 * An incarnation of a database that is no longer registered, and whose copy of the log may be lost. It stands for the incarnations before it
 * at its place that are lost too.
 *
 * @param service the service that the database belonged to
 * @param address the last address of the database
 * @param instanceId the id of the instance, which a later incarnation may reuse
 * @param bornMs the start time of the process, in ms since 1970
 * @param earliestBornMs the start time of the earliest incarnation that it stands for
 * @param processEnded whether the process is known to have ended. Otherwise it may still receive and acknowledge commits
 */
public record LostCopy(
        String service, Address address, String instanceId, long bornMs, long earliestBornMs, boolean processEnded) {
    /** A copy that stands for one incarnation. */
    public LostCopy(String service, Address address, String instanceId, long bornMs, boolean processEnded) {
        this(service, address, instanceId, bornMs, bornMs, processEnded);
    }

    /** Returns the lost copy of an incarnation. */
    public static LostCopy of(DatabaseInstance instance, boolean processEnded) {
        return new LostCopy(
                instance.service(), instance.address(), instance.instanceId(), instance.bornMs(), processEnded);
    }

    /** Whether this is the copy of a given incarnation. */
    public boolean isCopyOf(DatabaseInstance instance) {
        return instanceId.equals(instance.instanceId())
                && service.equals(instance.service())
                && address.equals(instance.address())
                && bornMs == instance.bornMs();
    }

    /** Whether two copies stand for the same incarnations, whatever is known of their processes. */
    boolean isOfSameIncarnations(LostCopy other) {
        return ended().equals(other.ended());
    }

    /** The incarnation, for a connection to it. What a copy does not retain has a value that no connection depends on. */
    public DatabaseInstance incarnation() {
        return new DatabaseInstance(instanceId, service, address, "unknown", 1, true, false, bornMs, 0);
    }

    /** This copy with a process that has ended. */
    LostCopy ended() {
        return new LostCopy(service, address, instanceId, bornMs, earliestBornMs, true);
    }

    /** The copy of the later of two incarnations at one place, which stands for the earlier one too. */
    LostCopy mergedWith(LostCopy other) {
        LostCopy later = other.bornMs < bornMs ? this : other;
        return new LostCopy(
                service,
                address,
                instanceId,
                later.bornMs,
                Math.min(earliestBornMs, other.earliestBornMs),
                later.processEnded);
    }

    /** The copy without the incarnations that started at some time or later; empty if it stands for no earlier one. */
    Optional<LostCopy> startedBefore(long limitMs) {
        if (bornMs < limitMs) {
            return Optional.of(this);
        }
        return earliestBornMs < limitMs
                ? Optional.of(new LostCopy(service, address, instanceId, earliestBornMs, processEnded))
                : Optional.empty();
    }
}
