/** When a failed attempt may be retried. */
package org.hornbeamspread.core.retry;
