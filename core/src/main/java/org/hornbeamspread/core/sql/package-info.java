/** Statements of interactive sessions, their results, and the transaction state of a session. */
package org.hornbeamspread.core.sql;
