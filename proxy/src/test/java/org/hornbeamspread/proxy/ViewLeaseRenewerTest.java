package org.hornbeamspread.proxy;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hornbeamspread.protocol.schema.RenewView;
import org.hornbeamspread.transport.PeerTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * The timeout of a renewal ran in real time, the retry on the dispatcher's clock. Under load a response came after the timeout, and a
 * test with a paused clock then waited for the retry for ever (PartitionTest in CI).
 */
final class ViewLeaseRenewerTest {
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(400);
    private static final Duration RETRY_BACKOFF = Duration.ofMillis(30);
    private static final long MAX_WAIT_S = 10;

    private final ManualDispatcher dispatcher = new ManualDispatcher();
    private final PeerTransport transport = new PeerTransport(1);
    private final FakeControlLeader control = new FakeControlLeader(transport);
    private final ViewLeaseRenewer renewer = new ViewLeaseRenewer(
            dispatcher,
            transport,
            List.of(control.endpoint()),
            new ViewPublisher(dispatcher.clock()),
            RenewView::getDefaultInstance,
            view -> {});

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void renewalWithoutAResponseTimesOutOnTheDispatchersClock() {
        control.setResponds(false);
        renewer.start();
        awaitRenewals(1);
        dispatcher.advance(RESPONSE_TIMEOUT.plus(RETRY_BACKOFF));
        awaitRenewals(2);
    }

    /** Runs the dispatcher, without advancing its clock, until control has received renewals. */
    private void awaitRenewals(int count) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        while (control.receivedRenewals() < count && System.nanoTime() < endNs) {
            dispatcher.runPending();
            Thread.onSpinWait();
        }
        assertWithMessage("renewals").that(control.receivedRenewals()).isEqualTo(count);
    }
}
