/** Remote procedure calls over HTTP: the server side on Ratpack, the client side on the JDK's client. */
package org.hornbeamspread.http;
