package org.hornbeamspread.core.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The proxies that may hold databases, grouped by location for rendezvous hashing: each proxy's hash is mixed with the
 * database's hash, and the highest score wins. Only the proxies nearest to the database are scored: those of its
 * failure domain; if there are none, those of its region; if there are none, all. Immutable.
 */
public final class HolderCandidates {
    private final Map<String, List<Candidate>> byFailureDomain = new HashMap<>();
    private final Map<String, List<Candidate>> byRegion = new HashMap<>();
    private final List<Candidate> all = new ArrayList<>();

    /** Groups the proxies that are not draining by failure domain and region. */
    public HolderCandidates(Collection<LiveProxy> proxies) {
        for (LiveProxy proxy : proxies) {
            if (proxy.draining()) {
                continue;
            }
            Candidate candidate = new Candidate(proxy.proxyId(), hash(proxy.proxyId()));
            byFailureDomain
                    .computeIfAbsent(proxy.failureDomain(), name -> new ArrayList<>())
                    .add(candidate);
            byRegion.computeIfAbsent(proxy.region(), name -> new ArrayList<>()).add(candidate);
            all.add(candidate);
        }
    }

    /** The proxy that should hold a database; absent if there is no candidate. */
    public Optional<String> selectHolder(AnnouncedDatabase database) {
        List<Candidate> nearest = byFailureDomain.get(database.failureDomain());
        if (nearest == null) {
            nearest = byRegion.getOrDefault(database.region(), all);
        }
        long databaseHash = hash(database.databaseId());
        Candidate best = null;
        long bestScore = 0;
        for (Candidate candidate : nearest) {
            long score = mix(databaseHash ^ candidate.hash);
            boolean wins = best == null
                    || score > bestScore
                    || (score == bestScore && candidate.proxyId.compareTo(best.proxyId) > 0);
            if (wins) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best).map(Candidate::proxyId);
    }

    private static long hash(String name) {
        return Hashing.murmur3_128().hashString(name, StandardCharsets.UTF_8).asLong();
    }

    /** Spreads the bits of a combined hash, so that a proxy's scores for different databases are independent. */
    private static long mix(long combined) {
        long mixed = (combined ^ (combined >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    /** A proxy and the hash of its name. */
    private record Candidate(String proxyId, long hash) {}
}
