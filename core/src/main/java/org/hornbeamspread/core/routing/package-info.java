/** Which group and which database serves a statement. */
package org.hornbeamspread.core.routing;
