package org.hornbeamspread.core.consensus;

/**
 * How many members vote, and when a caught-up member without a vote takes the place of a voter.
 *
 * @param requiredVoters the number of voters needed to tolerate the losses that the deployment is designed for; further
 *     members are standbys
 * @param substitutionSilenceMs the silence of a voter after which a standby takes its place
 * @param substitutionHoldMs how long a voter that was substituted does not itself substitute for a silent voter, so that two
 *     members that both respond slowly do not alternate
 * @param departureMs how long an announced departure applies; the process has ended by then
 */
public record VoterPolicy(int requiredVoters, long substitutionSilenceMs, long substitutionHoldMs, long departureMs) {
    /** Every member votes once it has caught up, and no voter is substituted. */
    public static final VoterPolicy EVERY_MEMBER = new VoterPolicy(Integer.MAX_VALUE, Long.MAX_VALUE, 0, 0);

    /**
     * Longer than two elections. With the election of a leader and a round trip shorter than the 4 s from the start of a
     * successor in which the replaced member must stop counting.
     */
    private static final long SUBSTITUTION_SILENCE_MS = 2_000;

    private static final long SUBSTITUTION_HOLD_MS = 10_000;

    /** The deployment ends a process this long after SIGTERM at the latest. */
    private static final long DEPARTURE_MS = 6_000;

    /** A fixed number of voters; further members are standbys. */
    public static VoterPolicy required(int requiredVoters) {
        return new VoterPolicy(requiredVoters, SUBSTITUTION_SILENCE_MS, SUBSTITUTION_HOLD_MS, DEPARTURE_MS);
    }
}
