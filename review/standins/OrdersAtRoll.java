import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Case: two machines are stopped in turn, first the one that holds the placement, while a third stands still for about
 * a second. Checks that no replica gets orders from two machines within leaseMs.
 */
final class OrdersAtRoll {

    private static final double LEASE_S = 3;
    private static final double THAW_S = 0.3;
    private static final String[] ZONES = {
        "piraeus", "piraeus", "piraeus", "lavrio", "lavrio", "lavrio", "rafina", "rafina"
    };

    private OrdersAtRoll() {}

    public static void main(String[] arguments) throws Exception {
        Path root = Path.of(arguments[0]);
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review");
        int result = 2;
        try (Recorder record = new Recorder(Path.of(arguments[1]));
                PlatformStore store = new PlatformStore(record);
                Engine engine = new Engine("i-1", "scribe", "piraeus", store, record);
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
        List<Fleet.Machine> machines = new ArrayList<>();
        Map<String, PlatformStore.Gate> gates = new HashMap<>();
        for (int number = 1; number <= ZONES.length; number++) {
            PlatformStore.Gate gate = store.addGate();
            Fleet.Machine machine = fleet.add("front-" + number, ZONES[number - 1], gate.address());
            gates.put(machine.name, gate);
            machines.add(machine);
            machine.start(true);
        }
        if (!fleet.awaitReady(40_000)) {
            return 2;
        }
        Thread.sleep(4_000);
        String claim = store.value("pollenhoist/placement");
        if (claim == null) {
            return 2;
        }
        List<Fleet.Machine> others = new ArrayList<>(machines);
        Fleet.Machine holder = machines.stream()
                .filter(machine -> claim.startsWith(machine.name + " "))
                .findFirst()
                .orElseThrow();
        others.remove(holder);
        Fleet.Machine second = others.remove(0);
        Fleet.Machine third = others.remove(0);
        record.note("holder %s, stopped after it %s, standing still %s", holder.name, second.name, third.name);
        ExecutorService pool = Executors.newCachedThreadPool(Fleet.DAEMON);
        Thread callers = new Thread(() -> {
            for (int number = 1; ; number++) {
                int current = number;
                Fleet.Machine machine = current % 2 == 0 ? third : others.get(current % others.size());
                pool.submit(() -> ask(machine, current, record));
                try {
                    Thread.sleep(60);
                } catch (InterruptedException interrupted) {
                    return;
                }
            }
        });
        callers.setDaemon(true);
        callers.start();
        Thread.sleep(3_000);
        double thawedAt = -1;
        if (isTrouble) {
            double before = gates.get(third.name).lastWatchAt();
            while (gates.get(third.name).lastWatchAt() == before) {
                Thread.sleep(2);
            }
            Thread.sleep(20);
            third.signal("STOP");
            Thread.sleep(1_000);
        }
        holder.signal("TERM");
        double stoppedAt = record.seconds();
        if (isTrouble) {
            while (!String.valueOf(store.value("pollenhoist/placement")).startsWith(second.name + " ")
                    && record.seconds() < stoppedAt + 1) {
                Thread.sleep(2);
            }
            Thread.sleep(20);
            third.signal("CONT");
            thawedAt = record.seconds();
        }
        Thread.sleep(Math.max(0, (long) (1_300 - 1_000 * (record.seconds() - stoppedAt))));
        second.signal("TERM");
        Thread.sleep(7_000);
        boolean isBroken = false;
        Engine.Order last = null;
        for (Engine.Order order : engine.orders()) {
            boolean isExcused = thawedAt >= 0 && order.at() >= thawedAt && order.at() < thawedAt + THAW_S;
            if (last != null
                    && !isExcused
                    && !last.holder().equals(order.holder())
                    && order.at() - last.at() < LEASE_S) {
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
        if (holders < 2) {
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
