package org.pollenhoist.standins.faults;

import java.net.InetAddress;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.ExitCode;
import ratpack.handling.Handler;
import ratpack.server.RatpackServer;

/** Starts a stand-in's HTTP server and announces it on the standard output. */
public final class StandInServer {

    private static final int THREADS = 2;
    private static final int MAXIMUM_BODY_BYTES = 8 << 20;
    private static final String LOG_SETTINGS_PROPERTY = "logback.configurationFile";

    private StandInServer() {}

    /**
     * Runs a launcher; the process goes on until it is told to stop where the launcher has started a server.
     *
     * @param launcher the picocli command
     * @param arguments the command line's arguments
     */
    public static void launch(Callable<Integer> launcher, String[] arguments) {
        if (System.getProperty(LOG_SETTINGS_PROPERTY) == null) {
            System.setProperty(LOG_SETTINGS_PROPERTY, "stand-ins-logback.xml");
        }
        int exitCode = new CommandLine(launcher).execute(arguments);
        if (exitCode != ExitCode.OK) {
            System.exit(exitCode);
        }
    }

    /**
     * Starts a server and prints {@code ready address=A port=N} when it answers. It stops on SIGTERM.
     *
     * @param options where to listen
     * @param handler what answers
     * @return the running server
     * @throws Exception where it can't listen there
     */
    public static RatpackServer start(ListenOptions options, Handler handler) throws Exception {
        InetAddress address = InetAddress.getByName(options.address());
        RatpackServer server = RatpackServer.start(definition -> definition
                .serverConfig(settings -> settings.address(address)
                        .port(options.port())
                        .threads(THREADS)
                        .development(false)
                        .maxContentLength(MAXIMUM_BODY_BYTES))
                .handler(registry -> handler));
        System.out.println("ready address=" + options.address() + " port=" + server.getBindPort());
        return server;
    }
}
