/** What the control daemon is started with. */
package org.hornbeamspread.control.settings;
