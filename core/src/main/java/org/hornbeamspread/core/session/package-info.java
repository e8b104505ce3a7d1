/** Session tokens, with which callers carry the log positions that their next reads must include. */
package org.hornbeamspread.core.session;
