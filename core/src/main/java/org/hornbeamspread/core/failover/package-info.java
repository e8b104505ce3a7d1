/** When a group's primary is replaced, by which database, and when the new term is opened to writes. */
package org.hornbeamspread.core.failover;
