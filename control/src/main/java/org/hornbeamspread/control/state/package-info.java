/** The replicated state that results from the control log: configuration, group terms, database registry, members. */
package org.hornbeamspread.control.state;
