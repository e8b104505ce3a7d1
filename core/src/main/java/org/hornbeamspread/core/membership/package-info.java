/** Who takes part: announced databases, living proxies, and which proxy holds which database. */
package org.hornbeamspread.core.membership;
