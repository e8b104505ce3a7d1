/** Length-prefixed protobuf messages over TCP between processes, on Netty. */
package org.hornbeamspread.transport;
