package org.hornbeamspread.control.storage;

import java.io.IOException;

/** Called before each write to the data directory; an exception simulates an error of the disk. */
public interface WriteInterceptor {
    /** Allows every write. */
    WriteInterceptor NONE = bytes -> {};

    /**
     * Called before a write.
     *
     * @param bytes the size of the write
     * @throws IOException to make the write fail
     */
    void beforeWrite(long bytes) throws IOException;
}
