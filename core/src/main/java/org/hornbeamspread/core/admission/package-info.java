/** Which request takes a database's next free slot, and which is refused. */
package org.hornbeamspread.core.admission;
