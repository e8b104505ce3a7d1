package org.hornbeamspread.control.storage;

import java.io.IOException;

/** Asked before each write of the data directory; fails as the disk would. */
public interface WriteInterceptor {
    /** Lets every write through. */
    WriteInterceptor NONE = bytes -> {};

    /** Fails with an {@link IOException} to refuse a write of so many bytes. */
    void beforeWrite(long bytes) throws IOException;
}
