/** The state that the control log's records build: configuration, group terms, registry of databases, members. */
package org.hornbeamspread.control.state;
