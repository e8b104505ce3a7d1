/** Emulated databases and network links for tests and experiments. */
package org.hornbeamspread.emulator;
