/** The proxy daemon: adapters around the decision logic of {@code core}. */
package org.hornbeamspread.proxy;
