/** Framed protobuf over Netty between processes. */
package org.hornbeamspread.transport;
