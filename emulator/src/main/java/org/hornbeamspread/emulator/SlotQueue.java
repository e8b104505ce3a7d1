package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;

/** Limits concurrent tasks to a number of slots; tasks wait for a free slot in order of arrival. Not thread-safe. */
final class SlotQueue {
    private final int slots;
    private final Deque<Runnable> pendingTasks = new ArrayDeque<>();
    private int inUse;

    SlotQueue(int slots) {
        this.slots = slots;
    }

    /** Starts a task immediately or when a slot becomes free. Each started task must release its slot exactly once. */
    void submit(Runnable task) {
        if (inUse < slots) {
            inUse++;
            task.run();
        } else {
            pendingTasks.add(task);
        }
    }

    /** Releases a slot, and assigns it to the oldest waiting task if there is one. */
    void release() {
        Runnable next = pendingTasks.poll();
        if (next == null) {
            inUse--;
        } else {
            next.run();
        }
    }

    int inUse() {
        return inUse;
    }
}
