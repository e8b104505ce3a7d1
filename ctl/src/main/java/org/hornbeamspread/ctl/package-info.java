/** The operator's command line client, which changes and queries the system through its remote procedure calls. */
package org.hornbeamspread.ctl;
