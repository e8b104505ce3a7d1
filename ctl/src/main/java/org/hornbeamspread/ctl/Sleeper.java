package org.hornbeamspread.ctl;

import java.time.Duration;

/** Waits between two tries; a test's own advances its clock instead. */
interface Sleeper {
    /** Returns when the time is over. */
    void sleep(Duration duration);

    /** Blocks the calling thread. */
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
