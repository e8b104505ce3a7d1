/** The proxy daemon: adapters around the decisions of {@code core}. */
package org.hornbeamspread.proxy;
