/** When a write may be acknowledged to its caller. */
package org.hornbeamspread.core.acknowledgement;
