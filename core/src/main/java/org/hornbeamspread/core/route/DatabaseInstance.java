package org.hornbeamspread.core.route;

import com.google.common.base.CharMatcher;
import com.google.common.net.InetAddresses;
import org.hornbeamspread.core.membership.Address;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;

/**
 * The latest announcement of a database.
 *
 * @param instanceId the id of the instance, which a later incarnation may reuse
 * @param service the service that the database belongs to
 * @param address the address at which the database accepts connections
 * @param failureDomain the failure domain that the database runs in
 * @param slots the maximum number of concurrent statements
 * @param draining whether the database is draining before it departs
 * @param primary whether the database reports itself as the primary
 * @param bornMs the start time of the process, in ms since 1970; it identifies the incarnation
 * @param sequence a number that increases with each announcement of an incarnation
 */
public record DatabaseInstance(
        String instanceId,
        String service,
        Address address,
        String failureDomain,
        int slots,
        boolean draining,
        boolean primary,
        long bornMs,
        long sequence) {
    private static final int MAX_NAME_LENGTH = 255;

    /** Above the slots of any database, and far below the overflow of sums of slots. */
    private static final int MAX_SLOTS = 1_000_000;

    /** 1 January 2100. No announcement of a later incarnation could supersede one with a start time at the end of the range. */
    static final long MAX_BORN_MS = 4_102_444_800_000L;

    /** The largest number that every JSON implementation represents exactly. */
    private static final long MAX_SEQUENCE = (1L << 53) - 1;

    /** Names are separated by blanks in the database protocol. */
    private static final CharMatcher NAME_CHARACTERS = CharMatcher.inRange('!', '~');

    /**
     * Checks that the announcement names a database that can be connected to. Fails with INVALID_REQUEST; the instance must not
     * become a member of a database group then, because promotions wait for each member.
     */
    public DatabaseInstance {
        requireName("instance id", instanceId);
        requireName("service", service);
        requireName("failure domain", failureDomain);
        boolean numericHost =
                InetAddresses.isInetAddress(address.host()) || InetAddresses.isUriInetAddress(address.host());
        require(numericHost, "the host is not an IP address");
        require(address.port() > 0, "port 0");
        require(slots > 0 && slots <= MAX_SLOTS, "slots out of range: " + slots);
        require(bornMs >= 0 && bornMs <= MAX_BORN_MS, "start time out of range: " + bornMs);
        require(sequence >= 0 && sequence <= MAX_SEQUENCE, "sequence out of range: " + sequence);
    }

    private static void requireName(String field, String name) {
        boolean valid = !name.isEmpty() && name.length() <= MAX_NAME_LENGTH && NAME_CHARACTERS.matchesAllOf(name);
        require(valid, field + " of " + name.length() + " characters is empty, too long or not printable ASCII");
    }

    private static void require(boolean satisfied, String problem) {
        if (!satisfied) {
            throw new FailureException(FailureType.INVALID_REQUEST, problem);
        }
    }

    /** Whether this announcement equals another one in everything but the sequence. */
    public boolean equalsIgnoringSequence(DatabaseInstance other) {
        return equals(new DatabaseInstance(
                other.instanceId,
                other.service,
                other.address,
                other.failureDomain,
                other.slots,
                other.draining,
                other.primary,
                other.bornMs,
                sequence));
    }
}
