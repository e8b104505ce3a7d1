/** Infrastructure shared by all binaries: clock, event loop threads, command-line settings and event log. */
package org.hornbeamspread.runtime;
