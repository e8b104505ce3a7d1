/** What operators declare, when a change of it is valid, and which of racing changes wins. */
package org.hornbeamspread.core.configuration;
