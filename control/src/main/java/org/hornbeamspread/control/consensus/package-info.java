/** Runs the consensus node on its threads and connects the node to the other control members and to the disk. */
package org.hornbeamspread.control.consensus;
