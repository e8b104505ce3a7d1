package org.hornbeamspread.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.hornbeamspread.core.misc.ManualClock;
import org.junit.jupiter.api.Test;

/** Clients that send a part of a large message and pause must neither exhaust the heap nor keep others from sending theirs. */
final class IncompleteMessageBudgetTest {
    private static final long MESSAGE_BYTES = 1 << 20;
    private static final long LIMIT_BYTES = 12 * MESSAGE_BYTES;

    private final ManualClock clock = new ManualClock();
    private final IncompleteMessageBudget budget = new IncompleteMessageBudget(LIMIT_BYTES, clock);

    /** 100 clients pause within 900 kB, ten a second; meanwhile one message of 1 MiB after the other arrives within 50 ms. */
    @Test
    void messagesInTransferAreKeptBesidePausedOnes() {
        List<Connection> paused = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            paused.add(new Connection());
            budget.retain(paused.get(i), 900_000);
            clock.advance(Duration.ofMillis(50));
            Connection sender = new Connection();
            for (long bytes = MESSAGE_BYTES / 8; bytes <= MESSAGE_BYTES; bytes += MESSAGE_BYTES / 8) {
                budget.retain(sender, bytes);
                clock.advance(Duration.ofMillis(6));
            }
            budget.release(sender);
            assertThat(sender.evicted).isFalse();
            assertThat(budget.totalBytes()).isAtMost(LIMIT_BYTES);
        }

        assertThat(paused.stream().filter(connection -> connection.evicted).count())
                .isAtLeast(87);
    }

    /** Thousands of sessions with a part of a short request, older than the large messages that exceed the budget. */
    @Test
    void shortRemaindersAreKeptBesideLargeOnes() {
        List<Connection> remainders =
                Stream.generate(Connection::new).limit(4_000).toList();
        remainders.forEach(connection -> budget.retain(connection, 256));
        clock.advance(Duration.ofSeconds(5));
        for (int i = 0; i < 30; i++) {
            budget.retain(new Connection(), MESSAGE_BYTES);
            clock.advance(Duration.ofMillis(100));
        }

        assertThat(remainders.stream().filter(connection -> connection.evicted)).isEmpty();
    }

    /** The total is the sum of what the connections that were not evicted hold, and never exceeds the limit. */
    @Property(tries = 200, seed = "31")
    void totalStaysWithinAnyLimit(@ForAll @LongRange(min = 2_000, max = 50_000) long limitBytes, @ForAll long seed) {
        IncompleteMessageBudget any = new IncompleteMessageBudget(limitBytes, clock);
        Random random = new Random(seed);
        List<Connection> connections =
                Stream.generate(Connection::new).limit(50).toList();
        for (int step = 0; step < 500; step++) {
            Connection connection = connections.get(random.nextInt(connections.size()));
            clock.advance(Duration.ofMillis(random.nextInt(100)));
            connection.evicted = false;
            if (random.nextInt(4) == 0) {
                connection.bytes = 0;
                any.release(connection);
            } else {
                connection.bytes += random.nextInt(1_000);
                connection.bytes = Math.min(connection.bytes, 2_000);
                any.retain(connection, connection.bytes);
            }
            assertThat(any.totalBytes()).isAtMost(limitBytes);
            assertThat(connections.stream().mapToLong(held -> held.bytes).sum()).isEqualTo(any.totalBytes());
        }
    }

    private static final class Connection implements IncompleteMessageBudget.Holder {
        private long bytes;
        private boolean evicted;

        @Override
        public void onEvicted() {
            evicted = true;
            bytes = 0;
        }
    }
}
