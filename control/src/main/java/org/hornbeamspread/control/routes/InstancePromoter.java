package org.hornbeamspread.control.routes;

import java.util.concurrent.CompletableFuture;

/** Orders promotions from whoever carries them out. */
public interface InstancePromoter {
    /**
     * Orders an instance to lead its service. Completes with whether the order was accepted; fails when there is no clear
     * answer, after which it may still be carried out.
     *
     * @param holder names who orders
     * @param fencingToken an order with a lower one than was seen before is refused
     */
    CompletableFuture<Boolean> promote(String service, String instanceId, String holder, long fencingToken);
}
