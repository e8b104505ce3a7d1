/** The operators' calls. */
package org.hornbeamspread.control.operations;
