/** Membership: announced databases, proxies with a lease, and the assignment of databases to proxies. */
package org.hornbeamspread.core.membership;
