package org.hornbeamspread.emulator;

import java.util.ArrayDeque;
import java.util.Deque;

/** A database's slots: a task takes a free one, or waits for one in order of arrival. One thread only. */
final class SlotQueue {
    private final int slots;
    private final Deque<Runnable> pendingTasks = new ArrayDeque<>();
    private int inUse;

    SlotQueue(int slots) {
        this.slots = slots;
    }

    /** Starts a task now or when a slot is free; whoever started releases its slot once. */
    void submit(Runnable task) {
        if (inUse < slots) {
            inUse++;
            task.run();
        } else {
            pendingTasks.add(task);
        }
    }

    /** Gives a slot back; the oldest waiting task takes it. */
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
