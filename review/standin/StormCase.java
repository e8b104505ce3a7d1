package review.standin;

import java.util.Optional;

/**
 * CONFIG. The configuration has grown by many routes, and hundreds of changes follow. Then all control processes are killed and
 * are back within a second, with their disks. The newest acknowledged configuration must be read back.
 */
final class StormCase implements Main.Case {
    private static final int CHANGES = 300;
    private static final int ADDED_ROUTES = 1_000;
    private static final long LIMIT_MS = 70_000;
    private static final long GAP_MS = 80;
    private static final long READ_BACK_MS = 20_000;

    @Override
    public boolean breaks(Deployment deployment, Record record, boolean trouble) throws Exception {
        Main.startAll(deployment);
        deployment.addedRoutes = trouble ? ADDED_ROUTES : 0;
        long endMs = record.nowMs() + LIMIT_MS;
        int acknowledged = 3;
        for (int version = 4; version < 4 + CHANGES && record.nowMs() < endMs; version++) {
            if (!deployment.putConfiguration(version, 10_000)) {
                record.write("operator", "no acknowledgement of " + version + " for 10 s");
                break;
            }
            acknowledged = version;
            Record.sleep(GAP_MS);
        }
        record.write("case", "kills all control processes after version " + acknowledged);
        deployment.killControl();
        long readEndMs = record.nowMs() + READ_BACK_MS;
        Optional<Integer> read = Optional.empty();
        while (record.nowMs() < readEndMs && read.filter(version -> version >= 0).isEmpty()) {
            read = deployment.readConfiguration();
            Record.sleep(500);
        }
        record.write("check", "acknowledged " + acknowledged + " read back " + read
                + "; ends of processes " + deployment.ends);
        return read.isEmpty() || read.get() < acknowledged;
    }
}
