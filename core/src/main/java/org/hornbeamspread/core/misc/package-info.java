/** Values, failures and clocks that every decision package shares. */
package org.hornbeamspread.core.misc;
