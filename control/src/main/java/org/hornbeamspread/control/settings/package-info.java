/** The flags and settings of the control daemon. */
package org.hornbeamspread.control.settings;
