/** Limits of operations that hold over all proxies together. */
package org.hornbeamspread.core.quota;
