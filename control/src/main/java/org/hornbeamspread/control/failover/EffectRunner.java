package org.hornbeamspread.control.failover;

import java.util.List;
import java.util.Map;
import org.hornbeamspread.core.failover.FailoverEffect;
import org.hornbeamspread.core.membership.AnnouncedDatabase;
import org.hornbeamspread.core.membership.DatabaseRegistry;

/** Executes the effects of the groups' failovers. Confined to the coordinator's thread. */
final class EffectRunner {
    private final DatabaseRegistry registry;
    private final DatabaseClients databases;
    private final ProposalBatcher proposals;

    EffectRunner(DatabaseRegistry registry, DatabaseClients databases, ProposalBatcher proposals) {
        this.registry = registry;
        this.databases = databases;
        this.proposals = proposals;
    }

    /** Executes the effects of one step. The appends of all groups are proposed together. */
    void run(Map<String, List<FailoverEffect>> effects, long leaderTerm) {
        effects.forEach((group, groupEffects) -> groupEffects.forEach(effect -> run(group, effect)));
        proposals.flush(leaderTerm);
    }

    private void run(String group, FailoverEffect effect) {
        if (effect instanceof FailoverEffect.AppendRecord append) {
            proposals.add(append);
        } else if (effect instanceof FailoverEffect.AppendRegistrations append) {
            proposals.add(group, append);
        } else if (effect instanceof FailoverEffect.Fence fence) {
            registry.find(fence.databaseId()).ifPresent(database -> databases.fence(database, fence.term()));
        } else if (effect instanceof FailoverEffect.Promote promote) {
            registry.find(promote.databaseId()).ifPresent(database -> databases.promote(database, promote.term()));
        } else if (effect instanceof FailoverEffect.Follow follow) {
            registry.find(follow.databaseId()).ifPresent(database -> follow(database, follow));
        } else if (effect instanceof FailoverEffect.Readmit readmit) {
            registry.find(readmit.databaseId()).ifPresent(database -> databases.readmit(database, readmit));
        }
    }

    private void follow(AnnouncedDatabase database, FailoverEffect.Follow follow) {
        registry.find(follow.primaryId()).ifPresent(primary -> databases.follow(database, follow.term(), primary));
    }
}
