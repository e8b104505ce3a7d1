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
 * The living proxies, sorted for rendezvous hashing: each proxy's hash is mixed with the database's, and the greatest
 * score wins. Only the proxies that are nearest to the database compete: those of its failure domain; without any, those
 * of its region; without any, all. Immutable.
 */
public final class HolderCandidates {
    private final Map<String, List<Candidate>> byFailureDomain = new HashMap<>();
    private final Map<String, List<Candidate>> byRegion = new HashMap<>();
    private final List<Candidate> all = new ArrayList<>();

    /** Sorts the proxies that are not draining. */
    public HolderCandidates(Collection<LiveProxy> living) {
        for (LiveProxy proxy : living) {
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

    /** The proxy that should hold a database; absent when there is no candidate. */
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

    /** Spreads the bits of a combined hash, so that scores of one proxy with different databases are unrelated. */
    private static long mix(long combined) {
        long mixed = (combined ^ (combined >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    /** A proxy and the hash of its name. */
    private record Candidate(String proxyId, long hash) {}
}
