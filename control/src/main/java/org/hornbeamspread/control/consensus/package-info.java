/** Runs the consensus decision on its threads, with the control members' connections and the disk. */
package org.hornbeamspread.control.consensus;
