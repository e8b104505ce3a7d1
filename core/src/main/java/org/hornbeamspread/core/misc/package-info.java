/** Values, failures and clocks shared by all packages of core. */
package org.hornbeamspread.core.misc;
