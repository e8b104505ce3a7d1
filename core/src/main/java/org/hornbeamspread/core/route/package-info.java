/** Routes from the databases that sessions open to services, and the registry of the instances behind them. */
package org.hornbeamspread.core.route;
