import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * Case: after the store has come back from a copy some seconds old, the operator takes a key from one tenant and gives
 * it to another. Checks that no replica runs a request with that key for the tenant that had it before, later than the
 * bounds allow.
 */
final class ConfigurationAfterDrill {

    private static final String CONFIGURATION = """
            {"version":%d,"routes":[
             {"name":"charge","host":"berth.example","pathPrefix":"/charge/","type":"unsafe","timeoutMs":2000,
              "sloMs":300,"priority":2,"service":"berth","maxAttempts":1,"public":false}],
             "services":[{"name":"berth","healthPath":"/health","maxConns":110,"protocol":"h1","tls":false}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
             "tenants":[{"name":"crews","apiKeys":["k1"%s],"priority":1,"unit":"tokens","plainTokens":200,
              "ratePerS":%d,"burst":60000},
              {"name":"agency","apiKeys":["k3"%s],"priority":1,"unit":"tokens","plainTokens":200,
              "ratePerS":60000,"burst":60000}]}""";

    private ConfigurationAfterDrill() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Recorder record = new Recorder(Path.of(arguments[1]));
                StoreModel store = new StoreModel(record);
                PlainModel plain = new PlainModel("i-1", "north", store, record);
                MachineFleet fleet = new MachineFleet(root, folder, record)) {
            result = play(store, plain, fleet, record, isTrouble);
            record.note("result %d", result);
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    private static void configure(
            StoreModel store, long version, boolean isOfCrews, int rate, Recorder record) {
        String key = ",\"k2\"";
        long revision = store.put(
                "op/config", CONFIGURATION.formatted(version, isOfCrews ? key : "", rate, isOfCrews ? "" : key));
        record.note(
                "operator: version %d, key k2 belongs to %s, acknowledged at revision %d",
                version, isOfCrews ? "crews" : "agency", revision);
    }

    private static int play(StoreModel store, PlainModel plain, MachineFleet fleet, Recorder record, boolean isTrouble)
            throws Exception {
        configure(store, 7, true, 60_000, record);
        plain.register("berth");
        MachineFleet.Machine one = fleet.add("front-1", "north", store.address());
        MachineFleet.Machine two = fleet.add("front-2", "south", store.address());
        one.start(true);
        two.start(true);
        if (!fleet.awaitReady(20_000)) {
            return 2;
        }
        Thread.sleep(8_000);
        StoreModel.Copy copy = store.copy();
        // Ordinary work of the operator in the seconds before the drill: two changes of a rate.
        configure(store, 12, true, 61_000, record);
        Thread.sleep(2_000);
        configure(store, 15, true, 62_000, record);
        Thread.sleep(3_000);
        if (isTrouble) {
            store.goAway();
            record.note("store: away");
            Thread.sleep(500);
            store.comeBackFrom(copy);
        }
        // All is calm for longer than stableMs + outerMs.
        Thread.sleep(10_000);
        int calm = ask(one, 1, "k2", record);
        if (calm != 200) {
            return 2;
        }
        configure(store, 21, false, 62_000, record);
        double acknowledgedAt = record.seconds();
        // configApplyMs is 2 s; twelve seconds more are left.
        Thread.sleep(14_000);
        boolean isBroken = false;
        for (int number = 2; number < 12; number++) {
            MachineFleet.Machine machine = number % 2 == 0 ? one : two;
            double sentAt = record.seconds();
            int status = ask(machine, number, "k2", record);
            if (status == 200 && plain.lastTenant().equals("crews")) {
                record.note(
                        "BROKEN: %s had a request of agency run for crews, sent %.1f s after version 21 was acknowledged",
                        machine.name, sentAt - acknowledgedAt);
                isBroken = true;
            }
        }
        int known = ask(one, 20, "k1", record);
        if (known != 200) {
            return 2;
        }
        return isBroken ? 1 : 0;
    }

    private static int ask(MachineFleet.Machine machine, int number, String key, Recorder record) {
        String id = "charge-" + number;
        int status = Caller.send(
                machine.callers,
                "POST",
                "/charge/1",
                Map.of("Host", "berth.example", "X-Request-Id", id, "X-Deadline-Ms", "4000", "X-Api-Key", key),
                new byte[200]);
        record.note("client: %s with key %s at %s -> %d", id, key, machine.name, status);
        return status;
    }
}
