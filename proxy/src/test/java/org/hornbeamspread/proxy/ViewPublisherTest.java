package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.hornbeamspread.core.misc.ManualClock;
import org.hornbeamspread.protocol.schema.Configuration;
import org.hornbeamspread.protocol.schema.ViewLease;
import org.junit.jupiter.api.Test;

/** Guards against a delayed or outdated lease that moves the view back or extends the time in which writes are allowed. */
final class ViewPublisherTest {
    private final ManualClock clock = new ManualClock();
    private final ViewPublisher publisher = new ViewPublisher(clock);

    @Test
    void leaseFromAnEarlierLeaderTermIsIgnored() {
        publisher.apply(lease(2, 7, 3).build(), clock.instant());
        clock.advance(Duration.ofSeconds(1));
        assertThat(publisher.apply(lease(1, 9, 4).build(), clock.instant())).isFalse();
        assertThat(term()).isEqualTo(3);
        assertThat(publisher.isLeaseValid()).isFalse();
    }

    @Test
    void groupTermsAndConfigurationVersionNeverDecrease() {
        publisher.apply(lease(1, 7, 3).build(), clock.instant());
        ViewLease outdated = lease(2, 1, 2)
                .setConfiguration(Configuration.newBuilder().setVersion(0))
                .build();
        publisher.apply(outdated, clock.instant());
        assertThat(term()).isEqualTo(3);
        assertThat(publisher.current().view().configurationVersion()).isEqualTo(1);
    }

    @Test
    void deltaKeepsEntriesThatItDoesNotMention() {
        publisher.apply(lease(1, 7, 3).build(), clock.instant());
        ViewLease delta = ViewLease.newBuilder()
                .setLeaderTerm(1)
                .setViewVersion(8)
                .setLeaseMs(1000)
                .addGroups(TestViews.group(5, true, List.of()).toBuilder().setGroup("g2"))
                .build();
        assertThat(publisher.apply(delta, clock.instant())).isTrue();
        assertThat(publisher.apply(delta.toBuilder().clearGroups().build(), clock.instant()))
                .isFalse();
        assertThat(term()).isEqualTo(3);
        assertThat(publisher.current().view().group("g2").isPresent()).isTrue();
        assertThat(publisher.current().view().service("rental-core").isPresent())
                .isTrue();
    }

    @Test
    void writeIsAllowedOnlyAtTheViewsTermUnderAValidLease() {
        publisher.apply(lease(1, 7, 3).build(), clock.instant());
        Instant now = clock.instant();
        LeasedView leased = publisher.current();
        assertThat(leased.canAcknowledgeWrite(TestViews.GROUP, 3, now)).isTrue();
        assertThat(leased.canAcknowledgeWrite(TestViews.GROUP, 2, now)).isFalse();
        assertThat(leased.canAcknowledgeWrite(TestViews.GROUP, 3, now.plusSeconds(1)))
                .isFalse();
        assertThat(leased.canAcknowledgeWrite("g9", 3, now)).isFalse();
    }

    private long term() {
        return publisher.current().view().group(TestViews.GROUP).orElseThrow().getTerm();
    }

    private static ViewLease.Builder lease(long leaderTerm, long version, long term) {
        return TestViews.lease(version, TestViews.group(term, true, List.of()), List.of()).toBuilder()
                .setLeaderTerm(leaderTerm);
    }
}
