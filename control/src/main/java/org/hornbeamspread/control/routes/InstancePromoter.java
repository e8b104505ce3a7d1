package org.hornbeamspread.control.routes;

import java.util.concurrent.CompletableFuture;

/** Requests promotions from the platform, which performs them. */
public interface InstancePromoter {
    /**
     * Requests the promotion of an instance to the primary of its service. Completes with whether the request was
     * accepted; fails when the outcome is unknown, after which the promotion may still be performed.
     *
     * @param holder the id of the requester
     * @param fencingToken a request with a lower token than an earlier request is refused
     */
    CompletableFuture<Boolean> promote(String service, String instanceId, String holder, long fencingToken);
}
