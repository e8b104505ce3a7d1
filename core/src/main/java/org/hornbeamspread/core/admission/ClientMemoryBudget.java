package org.hornbeamspread.core.admission;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory that a process holds for its clients, over all clients together.
 *
 * <p>Guards against many clients of which each stays below its own limit. While the total exceeds the limit, the client that holds
 * the most is evicted: clients with small requests are kept beside any number of large ones. Confined to one thread.
 */
public final class ClientMemoryBudget {
    /** A client whose memory is counted. */
    public interface Holder {
        /** Frees what is held for the client. Its account is closed when this is called. */
        void onEvicted();
    }

    private final long limitBytes;
    private final Set<Account> accounts = new LinkedHashSet<>();
    private long totalBytes;

    /** Creates a budget with the limit of all clients together. */
    public ClientMemoryBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Opens the account of a client that holds nothing yet. */
    public Account open(Holder holder) {
        return new Account(holder);
    }

    /** The memory held for all clients. */
    public long totalBytes() {
        return totalBytes;
    }

    private void enforce() {
        while (totalBytes > limitBytes) {
            Account largest = accounts.stream()
                    .max(Comparator.comparingLong(account -> account.bytes))
                    .orElseThrow();
            largest.close();
            largest.holder.onEvicted();
        }
    }

    /** The memory held for one client. Changes after {@link #close} have no effect. */
    public final class Account {
        private final Holder holder;
        private long bytes;
        private boolean closed;

        private Account(Holder holder) {
            this.holder = holder;
        }

        /** Adds memory, and evicts clients, possibly this one, while the limit is exceeded. */
        public void add(long added) {
            change(added);
            enforce();
        }

        /** Subtracts memory that was added before. */
        public void subtract(long subtracted) {
            change(-subtracted);
        }

        /** Subtracts everything; the client is gone. */
        public void close() {
            change(-bytes);
            closed = true;
        }

        /** The memory held for this client. */
        public long bytes() {
            return bytes;
        }

        private void change(long difference) {
            if (closed || difference == 0) {
                return;
            }
            bytes += difference;
            totalBytes += difference;
            if (bytes == 0) {
                accounts.remove(this);
            } else {
                accounts.add(this);
            }
        }
    }
}
