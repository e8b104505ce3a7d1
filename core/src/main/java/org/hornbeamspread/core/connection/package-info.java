/** When an open connection between processes is alive. */
package org.hornbeamspread.core.connection;
