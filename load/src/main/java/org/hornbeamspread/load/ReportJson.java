package org.hornbeamspread.load;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.util.OptionalLong;
import java.util.TreeMap;

/** The report as a JSON file. Scripts read its fields by name, so the names must not change. */
final class ReportJson {
    private ReportJson() {}

    /** The JSON text. */
    static String render(LoadReport report) {
        JsonObject root = new JsonObject();
        root.addProperty("user", report.scenario().user());
        root.addProperty("seed", report.scenario().seed());
        root.addProperty("fault", report.scenario().fault());
        root.addProperty("seconds", report.scenario().seconds());
        root.addProperty("passed", report.passed());
        addAudit(root, report.audit());
        addReads(root, report.reads());
        addGaps(root, report);
        root.add("configurationInForceMs", numberOrNull(report.configurationInForceMs()));
        root.add("interRegionBytes", numberOrNull(report.interRegionBytes()));
        JsonObject byRank = new JsonObject();
        report.ranks().forEach(rank -> byRank.add(rank.name(), rankObject(rank)));
        root.add("byRank", byRank);
        JsonObject refusals = new JsonObject();
        new TreeMap<>(report.refusals()).forEach((type, count) -> refusals.addProperty(type.name(), count));
        root.add("refusals", refusals);
        root.addProperty("notSent", report.notSent());
        return new GsonBuilder().setPrettyPrinting().serializeNulls().create().toJson(root) + "\n";
    }

    private static void addAudit(JsonObject root, Audit.Result audit) {
        root.addProperty("acknowledged", audit.acknowledged());
        root.addProperty("lost", audit.lost());
        root.addProperty("doubled", audit.doubled());
        root.addProperty("falseNotRun", audit.falseNotRun());
        root.addProperty("unknown", audit.unknown());
        root.addProperty("unaudited", audit.unaudited());
    }

    private static void addReads(JsonObject root, ReadCounts reads) {
        root.addProperty("readYourWritesViolations", reads.violations());
        root.addProperty("readYourWritesChecks", reads.checks());
        root.addProperty("reads", reads.served());
        root.addProperty("replicaReadShare", rounded(reads.replicaShare()));
    }

    private static void addGaps(JsonObject root, LoadReport report) {
        root.addProperty("failoverGapMs", report.failoverGapMs());
        JsonObject gaps = new JsonObject();
        new TreeMap<>(report.gapMsByGroup()).forEach(gaps::addProperty);
        root.add("failoverGapMsByGroup", gaps);
    }

    private static JsonObject rankObject(RankReport rank) {
        JsonObject object = new JsonObject();
        object.addProperty("offered", rank.offered());
        object.addProperty("served", rank.served());
        object.addProperty("refusedNotRun", rank.refusedNotRun());
        object.addProperty("unknown", rank.unknown());
        object.addProperty("withinTargetShare", rounded(rank.withinTargetShare()));
        object.addProperty("p50Ms", rank.p50Ms());
        object.addProperty("p99Ms", rank.p99Ms());
        return object;
    }

    private static JsonElement numberOrNull(OptionalLong value) {
        return value.isPresent() ? new JsonPrimitive(value.getAsLong()) : JsonNull.INSTANCE;
    }

    private static double rounded(double share) {
        return Math.round(share * 10_000) / 10_000.0;
    }
}
