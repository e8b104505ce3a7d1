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

/** Who gets a database's next slot. */
enum SlotOrder {
    /** By worth, with a guaranteed share for each rank. */
    RANK {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new RankScheduler(slots, settings(configuration), now);
        }
    },
    /** By worth alone. */
    STRICT {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new StrictPriorityScheduler(slots, settings(configuration));
        }
    },
    /** In order of arrival. */
    FIFO {
        @Override
        SlotScheduler scheduler(Configuration configuration, int slots, Instant now) {
            return new FifoScheduler(slots, QUEUE_LIMIT);
        }
    };

    private static final int QUEUE_LIMIT = 1_000;

    /** The order of a setting's text. Fails with INVALID_SETTING. */
    static SlotOrder parse(String text) {
        return Arrays.stream(values())
                .filter(order -> order.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(() ->
                        new FailureException(FailureType.INVALID_SETTING, "--slot-order must be rank, strict or fifo"));
    }

    /** A scheduler of one database's slots. */
    abstract SlotScheduler scheduler(Configuration configuration, int slots, Instant now);

    private static List<RankSettings> settings(Configuration configuration) {
        return configuration.getRanksList().stream().map(SlotOrder::settings).toList();
    }

    private static RankSettings settings(RankDefinition rank) {
        return new RankSettings(rank.getName(), rank.getWorth(), rank.getGuaranteedSharePercent(), QUEUE_LIMIT);
    }
}
