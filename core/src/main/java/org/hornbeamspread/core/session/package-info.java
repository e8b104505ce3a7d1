/** What a session has seen, carried by the caller. */
package org.hornbeamspread.core.session;
