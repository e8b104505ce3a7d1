package org.hornbeamspread.runtime;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Control processes that ran out of heap stayed without their main or consensus thread, with open ports and no service, and were
 * not started again (review case 3).
 */
final class FatalErrorHandlerTest {
    private static final int TIMEOUT_S = 60;
    private static final int RUNNING_STATUS = 0;

    @ParameterizedTest
    @CsvSource({
        "main, java.lang.OutOfMemoryError, 70",
        "main, java.lang.IllegalStateException, 70",
        "loop, java.lang.OutOfMemoryError, 70",
        "loop, java.lang.InternalError, 70",
        "loop, java.lang.IllegalStateException, 0"
    })
    void aProcessWithoutOneOfItsThreadsEnds(String thread, String failure, int expectedStatus) throws Exception {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        Program.class.getName(),
                        thread,
                        failure)
                .redirectErrorStream(true)
                .start();
        try {
            String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertThat(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();

            assertThat(process.exitValue()).isEqualTo(expectedStatus);
            if (expectedStatus != RUNNING_STATUS) {
                assertThat(output.lines().findFirst().orElse("")).contains("test: exits, since thread");
                assertThat(output).contains(failure);
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** Throws a failure on one of its threads, and exits with {@link #RUNNING_STATUS} if the event loop still runs after that. */
    static final class Program {
        private Program() {}

        public static void main(String[] arguments) throws Exception {
            FatalErrorHandler.install("test");
            Throwable failure = Class.forName(arguments[1])
                    .asSubclass(Throwable.class)
                    .getDeclaredConstructor()
                    .newInstance();
            EventLoopThread<Runnable> loop =
                    new EventLoopThread<Runnable>("loop", 8, Runnable::run, Duration.ofSeconds(1), () -> {}).start();
            if (arguments[0].equals("main")) {
                // A thread that keeps the process alive, as network threads do.
                new Thread(Program::awaitForever, "other").start();
                throwUnchecked(failure);
            }
            CountDownLatch handled = new CountDownLatch(1);
            loop.offer(() -> throwUnchecked(failure));
            loop.offer(handled::countDown);
            handled.await();
            System.exit(RUNNING_STATUS);
        }

        private static void awaitForever() {
            try {
                new CountDownLatch(1).await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @SuppressWarnings("unchecked")
        private static <T extends Throwable> void throwUnchecked(Throwable thrown) throws T {
            throw (T) thrown;
        }
    }
}
