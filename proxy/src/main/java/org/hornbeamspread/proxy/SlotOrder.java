package org.hornbeamspread.proxy;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.hornbeamspread.core.admission.FifoScheduler;
import org.hornbeamspread.core.admission.RankScheduler;
import org.hornbeamspread.core.admission.RankSettings;
import org.hornbeamspread.core.admission.SlotScheduler;
import org.hornbeamspread.core.admission.StrictPriorityScheduler;
import org.hornbeamspread.core.misc.FailureException;
import org.hornbeamspread.core.misc.FailureType;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.RankDefinition;

/** The scheduling policy that assigns a database's slots to waiting requests. */
enum SlotOrder {
    /** Priority by the rank's worth, with a guaranteed share of the slot time for each rank. */
    RANK {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new RankScheduler(slots, settings(configuration), now);
        }
    },
    /** Strict priority by the rank's worth, without guaranteed shares. */
    STRICT {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new StrictPriorityScheduler(slots, settings(configuration));
        }
    },
    /** First in, first out, for all ranks. */
    FIFO {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new FifoScheduler(slots, QUEUE_LIMIT);
        }
    };

    /** Maximum number of waiting requests: for each rank, or for all ranks together with {@link #FIFO}. */
    private static final int QUEUE_LIMIT = 1_000;

    /** Parses the value of --slot-order. Fails with INVALID_SETTING. */
    static SlotOrder parse(String text) {
        return Arrays.stream(values())
                .filter(order -> order.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(() ->
                        new FailureException(FailureType.INVALID_SETTING, "--slot-order must be rank, strict or fifo"));
    }

    /** Creates a scheduler for the slots of one database. */
    abstract SlotScheduler scheduler(Configuration configuration, int slots, Instant now);

    private static List<RankSettings> settings(Configuration configuration) {
        return configuration.getRanksList().stream().map(SlotOrder::settings).toList();
    }

    private static RankSettings settings(RankDefinition rank) {
        return new RankSettings(rank.getName(), rank.getWorth(), rank.getGuaranteedSharePercent(), QUEUE_LIMIT);
    }
}
