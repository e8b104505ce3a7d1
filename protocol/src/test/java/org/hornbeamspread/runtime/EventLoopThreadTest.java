package org.hornbeamspread.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** An error in one handler must not end the thread, which would leave a process that accepts work and does none. */
final class EventLoopThreadTest {
    private static final int TIMEOUT_S = 10;

    @ParameterizedTest
    @ValueSource(
            classes = {
                IllegalStateException.class,
                AssertionError.class,
                NoClassDefFoundError.class,
                StackOverflowError.class
            })
    void eventsAfterAFailedHandlerAreHandled(Class<? extends Throwable> failure) throws Exception {
        CountDownLatch handled = new CountDownLatch(1);
        try (EventLoopThread<Runnable> loop =
                new EventLoopThread<Runnable>("test", 8, Runnable::run, Duration.ofSeconds(1), () -> {}).start()) {
            Throwable thrown = failure.getDeclaredConstructor().newInstance();
            assertThat(loop.offer(() -> throwUnchecked(thrown))).isTrue();
            assertThat(loop.offer(handled::countDown)).isTrue();

            assertThat(handled.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        }
    }

    @SuppressWarnings("unchecked")
    private static <T extends Throwable> void throwUnchecked(Throwable thrown) throws T {
        throw (T) thrown;
    }
}
