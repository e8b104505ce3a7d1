/** What every binary shares: clock, duty threads, settings, metrics, start and stop. */
package org.hornbeamspread.runtime;
