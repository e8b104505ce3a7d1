/** The control member's files: identity, vote, snapshot and log, each with checksums and synced before it counts. */
package org.hornbeamspread.control.storage;
