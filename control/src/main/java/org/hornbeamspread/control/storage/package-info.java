/** The files of a control member: identity, vote, snapshot and log, checksummed and synced before they take effect. */
package org.hornbeamspread.control.storage;
