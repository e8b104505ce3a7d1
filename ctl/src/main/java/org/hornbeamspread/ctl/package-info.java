/** The operator's command line: every change and question, through the schema's own calls. */
package org.hornbeamspread.ctl;
