/** Interactive sessions: each client connection is one session, whose statements run on pooled database connections. */
package org.hornbeamspread.proxy.session;
