package org.hornbeamspread.transport;

import java.util.List;
import org.hornbeamspread.protocol.schema.QuotaGrant;
import org.hornbeamspread.protocol.schema.QuotaRequest;

/** Conversions between the wire forms of quota messages and the types of {@code core}. */
public final class QuotaMessages {
    private QuotaMessages() {}

    /** The wire form of a proxy's demands. */
    public static QuotaRequest toRequest(
            String proxyId, long incarnation, List<org.hornbeamspread.core.quota.QuotaDemand> demands) {
        QuotaRequest.Builder request =
                QuotaRequest.newBuilder().setProxyId(proxyId).setIncarnation(incarnation);
        demands.forEach(demand -> request.addDemands(org.hornbeamspread.protocol.schema.QuotaDemand.newBuilder()
                .setWorkspace(demand.workspace())
                .setWantedTokens(demand.wantedTokens())
                .setArrivedOperations(demand.arrivedOperations())
                .setOverdrawnOperations(demand.overdrawnOperations())
                .setHeldRatePerS(demand.heldRatePerS())
                .setHoldsReserve(demand.holdsReserve())));
        return request.build();
    }

    /** The demands of a request. Fails with INVALID_REQUEST if one is out of range. */
    public static List<org.hornbeamspread.core.quota.QuotaDemand> demands(QuotaRequest request) {
        return request.getDemandsList().stream()
                .map(demand -> new org.hornbeamspread.core.quota.QuotaDemand(
                        demand.getWorkspace(),
                        demand.getWantedTokens(),
                        demand.getArrivedOperations(),
                        demand.getOverdrawnOperations(),
                        demand.getHeldRatePerS(),
                        demand.getHoldsReserve()))
                .toList();
    }

    /** The wire form of a share. */
    public static org.hornbeamspread.protocol.schema.QuotaShare toWire(org.hornbeamspread.core.quota.QuotaShare share) {
        return org.hornbeamspread.protocol.schema.QuotaShare.newBuilder()
                .setWorkspace(share.workspace())
                .setTokens(share.tokens())
                .setValidityMs((int) share.tokenValidityMs())
                .setRetryAfterMs((int) share.retryAfterMs())
                .setLentRatePerS(share.lentRatePerS())
                .setLentValidityMs((int) share.lentValidityMs())
                .setReserveOperations(share.reserveOperations())
                .build();
    }

    /** The shares of a grant. Fails with INVALID_REQUEST if one is out of range. */
    public static List<org.hornbeamspread.core.quota.QuotaShare> shares(QuotaGrant grant) {
        return grant.getSharesList().stream()
                .map(share -> new org.hornbeamspread.core.quota.QuotaShare(
                        share.getWorkspace(),
                        share.getTokens(),
                        share.getValidityMs(),
                        share.getRetryAfterMs(),
                        share.getLentRatePerS(),
                        share.getLentValidityMs(),
                        share.getReserveOperations()))
                .toList();
    }
}
