import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Case: the store turns one machine away from its first start on, and later the machine that holds the placement.
 * Checks that no replica gets orders from two machines within leaseMs.
 */
final class OrdersAtFirstStart {

    private static final double LEASE_S = 3;

    private OrdersAtFirstStart() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Recorder record = new Recorder(Path.of(arguments[1]));
                PlatformStore store = new PlatformStore(record);
                Engine engine = new Engine("i-1", "scribe", "north", store, record);
                Fleet fleet = new Fleet(root, folder, record)) {
            result = play(store, engine, fleet, record, isTrouble);
            record.note("result %d", result);
        }
        System.out.println("result " + result);
        System.exit(result);
    }

    private static int play(PlatformStore store, Engine engine, Fleet fleet, Recorder record, boolean isTrouble)
            throws Exception {
        store.put("op/config", OrdersAfterDrill.CONFIGURATION.formatted(7, "\"k1\""));
        engine.register(0);
        PlatformStore.Gate gateOne = store.addGate();
        PlatformStore.Gate gateTwo = store.addGate();
        Fleet.Machine one = fleet.add("front-1", "north", gateOne.address());
        Fleet.Machine two = fleet.add("front-2", "south", gateTwo.address());
        if (isTrouble) {
            gateOne.setRefusing(true);
            record.note("store: turns front-1 away");
        }
        one.start(true);
        two.start(true);
        for (int wait = 0; wait < 200 && !two.isReady(); wait++) {
            Thread.sleep(50);
        }
        ExecutorService pool = Executors.newCachedThreadPool(Fleet.DAEMON);
        int asked = 0;
        double refuseAt = record.seconds() + 3;
        boolean isRefused = false;
        boolean isServed = !isTrouble;
        double end = record.seconds() + 14;
        while (record.seconds() < end) {
            if (isTrouble && !isRefused && record.seconds() > refuseAt) {
                gateTwo.setRefusing(true);
                isRefused = true;
                record.note("store: turns front-2 away, its last renewal was at %.3f", gateTwo.lastRenewalAt());
            }
            if (isTrouble && isRefused && !isServed && store.value("pollenhoist/placement") == null) {
                gateOne.setRefusing(false);
                isServed = true;
                record.note("store: serves front-1 again, the claim of front-2 has ended");
            }
            int number = ++asked;
            pool.submit(() -> ask(number % 2 == 0 ? one : two, number, record));
            Thread.sleep(120);
        }
        Thread.sleep(1_500);
        boolean isBroken = false;
        Engine.Order last = null;
        for (Engine.Order order : engine.orders()) {
            if (last != null && !last.holder().equals(order.holder()) && order.at() - last.at() < LEASE_S) {
                record.note(
                        "BROKEN: an order of %s (number %d) at %.3f, %.3f s after one of %s (number %d)",
                        order.holder(),
                        order.token(),
                        order.at(),
                        order.at() - last.at(),
                        last.holder(),
                        last.token());
                isBroken = true;
            }
            last = order;
        }
        long holders = engine.orders().stream().map(Engine.Order::holder).distinct().count();
        record.note("orders: %d, holders: %d", engine.orders().size(), holders);
        if (engine.orders().isEmpty() || (isTrouble && !isBroken && holders < 2)) {
            return 2;
        }
        return isBroken ? 1 : 0;
    }

    private static void ask(Fleet.Machine machine, int number, Recorder record) {
        String id = "chat-" + number;
        int status = Caller.send(
                machine.callers,
                "POST",
                "/chat/1",
                Map.of(
                        "Host", "chat.example",
                        "X-Request-Id", id,
                        "X-Model", "m0/a" + (1 + number % 40),
                        "X-Token-Count", "30,10",
                        "X-Prompt-Prefix", Integer.toHexString(0x1000 + number) + ":30",
                        "X-Deadline-Ms", "5000",
                        "X-Api-Key", "k1"),
                new byte[100]);
        record.note("client: %s with a%d at %s -> %d", id, 1 + number % 40, machine.name, status);
    }
}
