package org.hornbeamspread.control.routes;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.protocol.schema.SystemUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A delta that lacks a change leaves a proxy with a database that has left, or without one that has joined. */
final class PublishedViewTest {
    private final PublishedView view = new PublishedView();

    @Test
    void onlyChangesSinceTheKnownVersionAreSent() {
        publish(instance("a", 1), instance("b", 1));
        publish(instance("a", 1), instance("b", 2));
        publish(instance("b", 2));

        assertThat(view.version()).isEqualTo(3);
        SystemUpdate delta = view.since(1).build();
        assertThat(delta.getDelta()).isTrue();
        assertThat(delta.getInstancesList()).containsExactly(instance("b", 2));
        assertThat(delta.getRemovedInstanceIdsList()).containsExactly("a");
        assertThat(view.since(3).build().getChanged()).isFalse();
    }

    /** A version from before a change of leaders, or one that was never published. */
    @ParameterizedTest
    @ValueSource(longs = {0, 9})
    void unknownVersionReceivesTheWholeState(long knownVersion) {
        publish(instance("a", 1), instance("b", 1));
        publish(instance("a", 2), instance("b", 1));

        SystemUpdate update = view.since(knownVersion).build();
        assertThat(update.getDelta()).isFalse();
        assertThat(update.getInstancesCount()).isEqualTo(2);
    }

    @Test
    void sameStateKeepsTheVersion() {
        publish(instance("a", 1));
        publish(instance("a", 1));

        assertThat(view.version()).isEqualTo(1);
    }

    /** A proxy that polls at random times and applies what it receives has the leader's instances after each poll. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void deltasLeadToTheWholeState(int seed) {
        Random random = new Random(seed);
        Map<String, RegisteredInstance> leader = new HashMap<>();
        Map<String, RegisteredInstance> proxy = new HashMap<>();
        long knownVersion = 0;
        for (int step = 0; step < 20_000; step++) {
            String id = "i" + random.nextInt(3_000);
            if (random.nextInt(3) == 0) {
                leader.remove(id);
            } else {
                leader.put(id, instance(id, random.nextInt(4)));
            }
            if (random.nextInt(20) == 0) {
                view.publish(new ArrayList<>(leader.values()), List.of(), List.of(), List.of());
            }
            if (random.nextInt(200) == 0 && view.version() > 0) {
                SystemUpdate update = view.since(knownVersion).build();
                knownVersion = update.getSystemVersion();
                apply(update, proxy);
                assertThat(proxy.values())
                        .containsExactlyElementsIn(view.all().build().getInstancesList());
            }
        }
    }

    private static void apply(SystemUpdate update, Map<String, RegisteredInstance> instances) {
        if (update.getChanged() && !update.getDelta()) {
            instances.clear();
        }
        update.getRemovedInstanceIdsList().forEach(instances::remove);
        update.getInstancesList().forEach(instance -> instances.put(instance.getInstanceId(), instance));
    }

    private void publish(RegisteredInstance... instances) {
        view.publish(List.of(instances), List.of(), List.of(), List.of());
    }

    private static RegisteredInstance instance(String id, long bornMs) {
        return RegisteredInstance.newBuilder()
                .setInstanceId(id)
                .setBornMs(bornMs)
                .build();
    }
}
