package org.hornbeamspread.proxy.session;

import java.util.Optional;
import java.util.function.Supplier;
import org.hornbeamspread.core.dissemination.AuthorizationLease;
import org.hornbeamspread.core.route.Caller;
import org.hornbeamspread.core.route.Route;

/**
 * Determines on whose behalf a session's statements run, from its key and the configuration in force. Asked again for each operation and
 * before each statement is sent, since a key may be revoked, or move to another workspace, while a session is open. Confined to the
 * engine's thread.
 */
final class CallerAuthenticator {
    private final Supplier<SystemView> view;
    private final AuthorizationLease lease;

    CallerAuthenticator(Supplier<SystemView> view, AuthorizationLease lease) {
        this.view = view;
        this.lease = lease;
    }

    /** The outcome of an authentication. */
    sealed interface Authentication {
        /** The statements run on behalf of a caller. */
        record Admitted(Caller caller) implements Authentication {}

        /** No statement runs. */
        record Refused(RefusalReason reason) implements Authentication {}
    }

    /** Authenticates the statements of a session on a route. */
    Authentication authenticate(Optional<String> key, Route route) {
        if (!needsKey(route)) {
            return new Authentication.Admitted(Caller.ANONYMOUS);
        }
        if (!lease.isValid()) {
            return new Authentication.Refused(RefusalReason.AUTHORIZATION_EXPIRED);
        }
        return key.flatMap(view.get()::workspaceOfKey)
                .<Authentication>map(workspace -> new Authentication.Admitted(Caller.of(workspace)))
                .orElseGet(() -> new Authentication.Refused(RefusalReason.UNKNOWN_KEY));
    }

    /** Whether a route needs a key and the configuration in force does not contain this one, also after the lease has ended. */
    boolean isKeyUnknown(Optional<String> key, Route route) {
        return needsKey(route) && key.flatMap(view.get()::workspaceOfKey).isEmpty();
    }

    private boolean needsKey(Route route) {
        return !route.publicAccess() && view.get().requiresKeys();
    }

    /** Why a statement that was admitted for a caller must not run any more; empty if it still may. */
    Optional<RefusalReason> findRevocation(Optional<String> key, Route route, Caller caller) {
        Authentication current = authenticate(key, route);
        if (current instanceof Authentication.Refused refused) {
            return Optional.of(refused.reason());
        }
        boolean sameWorkspace = current instanceof Authentication.Admitted admitted
                && admitted.caller().workspace().equals(caller.workspace());
        return sameWorkspace ? Optional.empty() : Optional.of(RefusalReason.WORKSPACE_CHANGED);
    }

    /** Whether this proxy can admit callers with keys. */
    boolean admitsKeys() {
        return !view.get().requiresKeys() || lease.isValid();
    }

    /** Whether the lease should be extended. */
    boolean isRenewalDue() {
        return view.get().requiresKeys() && lease.isRenewalDue();
    }
}
