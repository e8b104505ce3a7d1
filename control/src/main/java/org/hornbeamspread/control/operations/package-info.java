/** The administrative RPCs for operators. */
package org.hornbeamspread.control.operations;
