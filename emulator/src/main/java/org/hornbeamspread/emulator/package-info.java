/** Stand-in databases and links for tests and trials. */
package org.hornbeamspread.emulator;
