package org.hornbeamspread.control.state;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.hornbeamspread.core.route.InstanceRegistry;
import org.hornbeamspread.protocol.schema.ChangeInstances;
import org.hornbeamspread.protocol.schema.ControlCommand;
import org.hornbeamspread.protocol.schema.ControlRecord;
import org.hornbeamspread.protocol.schema.ControlState;
import org.hornbeamspread.protocol.schema.Endpoint;
import org.hornbeamspread.protocol.schema.RegisteredInstance;
import org.hornbeamspread.transport.RouteMessages;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Logs and snapshots may hold entries that name no usable database, which an earlier version accepted. One of them was a member of
 * its group that never responds, so that no promotion took place. The other entries must be read all the same.
 */
final class UnusableInstancesTest {
    private static final RegisteredInstance USABLE = instance("i-1", "10.0.0.1", 5_000, 2, 100, 1);

    @ParameterizedTest
    @CsvSource({
        "i-2, db.example, 5000, 2, 100, 1",
        "i-2, 10.0.0.2, 0, 2, 100, 1",
        "i-2, 10.0.0.2, 70000, 2, 100, 1",
        "i-2, 10.0.0.2, 5000, 0, 100, 1",
        "i-2, 10.0.0.2, 5000, -2147483648, 100, 1",
        "i-2, 10.0.0.2, 5000, 2, 9223372036854775807, 1",
        "i-2, 10.0.0.2, 5000, 2, 100, 9223372036854775807",
        "i 2, 10.0.0.2, 5000, 2, 100, 1"
    })
    void unusableInstancesAreIgnored(String id, String host, int port, int slots, long bornMs, long sequence) {
        RegisteredInstance odd = instance(id, host, port, slots, bornMs, sequence);

        assertThat(RouteMessages.usableInstances(List.of(odd, USABLE))).containsExactly(RouteMessages.instance(USABLE));
        ControlStateMachine applied = new ControlStateMachine();
        applied.apply(ControlRecord.newBuilder()
                .setIndex(1)
                .setTerm(1)
                .setCommand(ControlCommand.newBuilder()
                        .setChangeInstances(
                                ChangeInstances.newBuilder().addAnnounced(odd).addAnnounced(USABLE)))
                .build());
        assertThat(applied.state().getInstancesList()).containsExactly(USABLE);
        InstanceRegistry restored = new InstanceRegistry();
        RouteMessages.restore(
                restored,
                ControlState.newBuilder().addInstances(odd).addInstances(USABLE).build());
        assertThat(restored.all()).containsExactly(RouteMessages.instance(USABLE));
    }

    private static RegisteredInstance instance(
            String id, String host, int port, int slots, long bornMs, long sequence) {
        return RegisteredInstance.newBuilder()
                .setInstanceId(id)
                .setService("ledger")
                .setEndpoint(Endpoint.newBuilder().setHost(host).setPort(port))
                .setFailureDomain("domain")
                .setSlots(slots)
                .setBornMs(bornMs)
                .setSequence(sequence)
                .build();
    }
}
