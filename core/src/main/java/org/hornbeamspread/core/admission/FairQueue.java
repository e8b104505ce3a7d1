package org.hornbeamspread.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Start-time fair queueing over workspaces: the items of one workspace leave in order of arrival, and workspaces that wait at
 * the same time are served in proportion to their weights.
 *
 * <p>Guards against a workspace that sends ten times its usual load: in order of arrival every item of the others waits behind
 * the flood. Here each workspace has a start tag, in service time divided by its weight. The waiting workspace with the lowest
 * tag is served next, which sets the virtual time to this tag and raises the tag by the mean cost of the workspace's recent
 * items. The mean, and not the cost of each item, since one long statement would put the next one behind all others. An item of a workspace that has none waiting gets at least the virtual time
 * as its tag, so that an idle workspace saves up nothing. While no item waits or occupies a slot, all
 * tags start again from zero. With a single workspace the order is first in, first out. Confined to one thread.
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T> {
    /**
     * Upper bound of the cost of an item. Without it, one transaction that a client leaves idle for a minute raises the mean of
     * its workspace so far that the workspace is kept out for longer than requests wait.
     */
    private static final double MAX_COST_NS = Duration.ofMillis(500).toNanos();

    /** Lower bound of the cost of an item, so that tags advance and divisions by the cost are defined. */
    private static final double MIN_COST_NS = 1_000;

    /** Weight of the newest cost in the moving averages. */
    private static final double COST_WEIGHT = 0.05;

    private static final double INITIAL_COST_NS = Duration.ofMillis(5).toNanos();

    /** Workspaces whose mean costs are kept; the least recently used one beyond that counts as new. */
    private static final int MAX_COSTS = 1_000;

    private static final float LOAD_FACTOR = 0.75f;

    /** The workspaces with waiting items, or with a tag ahead of the virtual time. */
    private final Map<String, Flow<T>> flows = new HashMap<>();

    private final Map<Long, Flow<T>> flowById = new HashMap<>();

    /** The mean cost of the recent items of a workspace. */
    private final Map<String, Double> meanCostsNs = new LinkedHashMap<>(16, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_COSTS;
        }
    };

    /** The mean cost of all recent items, which a workspace without a known cost is expected to have. */
    private double meanCostNs = INITIAL_COST_NS;

    private double virtualTimeNs;

    /** Items that {@link #poll} returned and that have not ended. */
    private int inService;

    private long nextSequence;

    private record Item<T>(long sequence, T value) {}

    private static final class Flow<T> {
        private final Map<Long, Item<T>> waiting = new LinkedHashMap<>();
        private final String workspace;
        private double weight;
        private double startTagNs;

        Flow(String workspace) {
            this.workspace = workspace;
        }

        private Item<T> head() {
            return waiting.values().iterator().next();
        }

        private double startTagNs() {
            return startTagNs;
        }

        private long headSequence() {
            return head().sequence();
        }

        /** How many items the flow has after {@code added} more, relative to its weight. */
        private double relativeLength(int added) {
            return (waiting.size() + added) / weight;
        }
    }

    /** The number of waiting items. */
    public int size() {
        return flowById.size();
    }

    /** Whether no item waits. */
    public boolean isEmpty() {
        return flowById.isEmpty();
    }

    /** The number of waiting items of a workspace. */
    int size(String workspace) {
        Flow<T> flow = flows.get(workspace);
        return flow == null ? 0 : flow.waiting.size();
    }

    /** Adds an item under an id that no waiting item has. */
    public void add(long id, WorkspaceShare share, T value) {
        Flow<T> flow = flows.get(share.workspace());
        if (flow == null) {
            dropSettledFlows();
            flow = new Flow<>(share.workspace());
            flows.put(share.workspace(), flow);
        }
        flow.weight = share.weight();
        if (flow.waiting.isEmpty()) {
            flow.startTagNs = Math.max(virtualTimeNs, flow.startTagNs);
        }
        flow.waiting.put(id, new Item<>(nextSequence++, value));
        flowById.put(id, flow);
    }

    /** Removes the next item, whose end is reported by {@link #complete} or {@link #abandon}. */
    public Optional<T> poll() {
        Optional<Flow<T>> next = flows.values().stream()
                .filter(flow -> !flow.waiting.isEmpty())
                .min(Comparator.comparingDouble((Flow<T> flow) -> flow.startTagNs())
                        .thenComparingLong(Flow::headSequence));
        return next.map(flow -> {
            inService++;
            virtualTimeNs = Math.max(virtualTimeNs, flow.startTagNs);
            flow.startTagNs += costNs(flow.workspace) / flow.weight;
            long id = flow.waiting.keySet().iterator().next();
            return removeFrom(flow, id);
        });
    }

    /** Removes a waiting item; empty when no item with the id waits. */
    public Optional<T> remove(long id) {
        return Optional.ofNullable(flowById.get(id)).map(flow -> removeFrom(flow, id));
    }

    boolean contains(long id) {
        return flowById.containsKey(id);
    }

    /** Records the end of an item, and how long it has occupied its slot. */
    public void complete(WorkspaceShare share, double actualCostNs) {
        double boundedNs = Math.max(MIN_COST_NS, Math.min(MAX_COST_NS, actualCostNs));
        double meanNs = costNs(share.workspace());
        meanCostsNs.put(share.workspace(), meanNs + COST_WEIGHT * (boundedNs - meanNs));
        meanCostNs += COST_WEIGHT * (boundedNs - meanCostNs);
        abandon();
    }

    /** Records the end of an item without service, whose time in the slot is no measure of its workspace's costs. */
    public void abandon() {
        inService--;
        resetIfIdle();
    }

    /** How many waiting items leave before a new one of a workspace, if no further ones arrive. */
    int itemsAhead(WorkspaceShare share) {
        Flow<T> own = flows.get(share.workspace());
        double startTagNs = virtualTimeNs;
        if (own != null) {
            double headTagNs = own.waiting.isEmpty() ? Math.max(virtualTimeNs, own.startTagNs) : own.startTagNs;
            startTagNs = headTagNs + own.waiting.size() * costNs(share.workspace()) / share.weight();
        }
        double ahead = size(share.workspace());
        for (Flow<T> flow : flows.values()) {
            if (flow != own && flow.startTagNs <= startTagNs) {
                double lagNs = (startTagNs - flow.startTagNs) * flow.weight;
                ahead += Math.min(flow.waiting.size(), Math.floor(lagNs / costNs(flow.workspace)) + 1);
            }
        }
        return (int) ahead;
    }

    /** Whether a workspace would have, with one more item, fewer relative to its weight than another has. */
    boolean isShorterThanAnother(WorkspaceShare share) {
        double ownLength = (size(share.workspace()) + 1) / share.weight();
        return longest().filter(flow -> flow.relativeLength(0) > ownLength).isPresent();
    }

    /** Removes the newest item of the workspace that has the most, relative to its weight. */
    Optional<T> removeNewestOfLongest() {
        return longest().map(flow -> {
            List<Long> ids = new ArrayList<>(flow.waiting.keySet());
            return removeFrom(flow, ids.get(ids.size() - 1));
        });
    }

    private Optional<Flow<T>> longest() {
        return flows.values().stream()
                .filter(flow -> !flow.waiting.isEmpty())
                .max(Comparator.comparingDouble((Flow<T> flow) -> flow.relativeLength(0))
                        .thenComparingLong(Flow::headSequence));
    }

    private double costNs(String workspace) {
        return meanCostsNs.getOrDefault(workspace, meanCostNs);
    }

    private T removeFrom(Flow<T> flow, long id) {
        Item<T> item = flow.waiting.remove(id);
        flowById.remove(id);
        resetIfIdle();
        return item.value();
    }

    private void resetIfIdle() {
        if (isEmpty() && inService <= 0) {
            flows.clear();
            virtualTimeNs = 0;
        }
    }

    /** Drops the flows whose state equals that of a new one. */
    private void dropSettledFlows() {
        flows.values().removeIf(flow -> flow.waiting.isEmpty() && flow.startTagNs <= virtualTimeNs);
    }
}
