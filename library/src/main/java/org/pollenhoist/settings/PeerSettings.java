package org.pollenhoist.settings;

import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Where the fleet's processes reach each other.
 *
 * @param address IP number to listen at
 * @param port TCP port to listen at
 * @param seeds peers to turn to first, also while the platform is down
 */
public record PeerSettings(String address, int port, List<InetSocketAddress> seeds) {

    private static final int MAXIMUM_PORT = 65_535;

    /** Copies the seeds. */
    public PeerSettings {
        seeds = List.copyOf(seeds);
    }

    static PeerSettings read(TomlTable table) {
        String address = table.address("address");
        int port = table.port("port");
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String text : table.texts("seeds")) {
            InetSocketAddress seed = parsed(text);
            if (seed == null) {
                table.reject("seeds", "'" + text + "'", "IP number:port", FindingCode.NOT_ALLOWED);
            } else {
                seeds.add(seed);
            }
        }
        table.rejectUnknownKeys();
        return new PeerSettings(address, port, seeds);
    }

    private static InetSocketAddress parsed(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
            return null;
        }
        String host = text.substring(0, colon);
        int port = Integer.parseInt(text.substring(colon + 1));
        boolean isAllowed = TomlTable.isIpNumber(host.replaceAll("[\\[\\]]", "")) && port >= 1 && port <= MAXIMUM_PORT;
        return isAllowed ? new InetSocketAddress(NetUtil.createInetAddressFromIpAddressString(host), port) : null;
    }
}
