/** When a failed attempt may be sent again. */
package org.hornbeamspread.core.retry;
