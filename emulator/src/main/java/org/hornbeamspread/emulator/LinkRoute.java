package org.hornbeamspread.emulator;

import org.hornbeamspread.protocol.schema.Endpoint;

/**
 * One forwarded endpoint.
 *
 * @param listen the endpoint on which connections are accepted
 * @param target the endpoint to which connections are forwarded
 * @param from the failure domain of the caller
 * @param to the failure domain of the target
 */
record LinkRoute(Endpoint listen, Endpoint target, String from, String to) {}
