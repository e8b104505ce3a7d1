package org.hornbeamspread.ctl;

import java.time.Duration;

/** The delay between two attempts. A test can use an implementation that advances a clock instead. */
interface Sleeper {
    /** Returns after the duration. */
    void sleep(Duration duration);

    /** A sleeper that blocks the calling thread. */
    static Sleeper blocking() {
        return duration -> {
            try {
                Thread.sleep(duration.toMillis());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        };
    }
}
