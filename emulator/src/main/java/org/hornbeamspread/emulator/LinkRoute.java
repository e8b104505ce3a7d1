package org.hornbeamspread.emulator;

import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * One forwarded endpoint.
 *
 * @param listen where connections are accepted
 * @param target where they are forwarded to
 * @param from the failure domain of whoever connects
 * @param to the failure domain of the target
 */
record LinkRoute(Endpoint listen, Endpoint target, String from, String to) {}
