package org.hornbeamspread.core.route;

import org.hornbeamspread.core.membership.Address;

/**
 * An incarnation of a database that is no longer registered, and whose copy of the log may be lost.
 *
 * @param service the service that the database belonged to
 * @param address the last address of the database
 * @param instanceId the id of the instance, which a later incarnation may reuse
 * @param bornMs the start time of the process, in ms since 1970
 * @param processEnded whether the process is known to have ended. Otherwise it may still receive and acknowledge commits
 */
public record LostCopy(String service, Address address, String instanceId, long bornMs, boolean processEnded) {
    /** Returns the lost copy of an incarnation. */
    public static LostCopy of(DatabaseInstance instance, boolean processEnded) {
        return new LostCopy(
                instance.service(), instance.address(), instance.instanceId(), instance.bornMs(), processEnded);
    }

    /** Whether this is the copy of a given incarnation. */
    public boolean isCopyOf(DatabaseInstance instance) {
        return equals(of(instance, processEnded));
    }

    /** Whether two copies are of one incarnation, whatever is known of its process. */
    boolean isSameIncarnation(LostCopy other) {
        return ended().equals(other.ended());
    }

    /** The incarnation, for a connection to it. What a copy does not retain has a value that no connection depends on. */
    public DatabaseInstance incarnation() {
        return new DatabaseInstance(instanceId, service, address, "unknown", 1, true, false, bornMs, 0);
    }

    /** This copy with a process that has ended. */
    LostCopy ended() {
        return new LostCopy(service, address, instanceId, bornMs, true);
    }
}
