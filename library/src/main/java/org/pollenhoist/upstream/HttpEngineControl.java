package org.pollenhoist.upstream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.pollenhoist.common.ErrorCode;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.PollenhoistException;
import org.pollenhoist.common.UpstreamName;
import org.pollenhoist.configuration.Upstream;

/**
 * Reports and orders over HTTP. An order is sent only over the connection on which its incarnation has last reported;
 * a time-out closes the connection. An order can thus not reach a later incarnation, whether or not engines check
 * fencing numbers.
 */
public final class HttpEngineControl implements EngineControl, AutoCloseable {

    private static final int ACCEPTED = 202;
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int INSUFFICIENT_STORAGE = 507;
    private static final byte[] EMPTY = new byte[0];

    private final EventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<UpstreamName, Session> sessions = new ConcurrentHashMap<>();
    private final Duration timeout;

    /**
     * Creates the client.
     *
     * @param timeout how long to wait for a connection and for each answer
     */
    public HttpEngineControl(Duration timeout) {
        this.timeout = timeout;
    }

    private record Session(EngineConnection connection, String address, int port, String incarnation) {

        boolean isUsable(Upstream engine) {
            return connection.isOpen() && address.equals(engine.address()) && port == engine.port();
        }
    }

    @Override
    public Optional<EngineReport> report(Upstream engine) {
        return Optional.ofNullable(reports(List.of(engine)).get(engine.name()));
    }

    @Override
    public Map<UpstreamName, EngineReport> reports(List<Upstream> engines) {
        Map<UpstreamName, CompletableFuture<EngineReport>> asked = new TreeMap<>();
        for (Upstream engine : engines) {
            asked.put(engine.name(), askForReport(engine));
        }
        Map<UpstreamName, EngineReport> reports = new TreeMap<>();
        asked.forEach(
                (name, future) -> await(future).ifPresentOrElse(report -> reports.put(name, report), () -> end(name)));
        return reports;
    }

    private CompletableFuture<EngineReport> askForReport(Upstream engine) {
        return connection(engine)
                .thenCompose(connection -> connection
                        .request(HttpMethod.GET, "/control/report", EMPTY)
                        .thenApply(answer -> accept(engine, connection, answer)))
                .orTimeout(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private CompletableFuture<EngineConnection> connection(Upstream engine) {
        Session session = sessions.get(engine.name());
        if (session != null && session.isUsable(engine)) {
            return CompletableFuture.completedFuture(session.connection());
        }
        end(engine.name());
        return EngineConnection.open(group, engine.address(), engine.port(), timeout);
    }

    private EngineReport accept(Upstream engine, EngineConnection connection, EngineConnection.Answer answer) {
        if (answer.status() != OK) {
            connection.close();
            throw new PollenhoistException(
                    ErrorCode.UPSTREAM_UNAVAILABLE,
                    "engine '" + engine.name() + "' answered " + answer.status() + " to a report, expected 200");
        }
        EngineReport report = EngineMessages.report(answer.content());
        Session session = new Session(connection, engine.address(), engine.port(), report.incarnation());
        Session old = sessions.put(engine.name(), session);
        if (old != null && old.connection() != connection) {
            old.connection().close();
        }
        if (!answer.isKeptAlive()) {
            connection.close();
        }
        return report;
    }

    private <T> Optional<T> await(CompletableFuture<T> future) {
        try {
            return Optional.of(future.get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS));
        } catch (ExecutionException | TimeoutException | CompletionException exception) {
            return Optional.empty();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private void end(UpstreamName engine) {
        Session session = sessions.remove(engine);
        if (session != null) {
            session.connection().close();
        }
    }

    @Override
    public OrderAnswer send(Upstream engine, String incarnation, EngineOrder order, MonotonicTime notAfter) {
        Session session = sessions.get(engine.name());
        if (session == null || !session.isUsable(engine)) {
            return new OrderAnswer.Unanswered("not sent, no open connection");
        }
        if (!session.incarnation().equals(incarnation)) {
            return new OrderAnswer.OtherIncarnation(session.incarnation());
        }
        byte[] content = EngineMessages.order(order);
        if (notAfter.isBefore(MonotonicTime.read())) {
            return new OrderAnswer.TooLate();
        }
        Optional<EngineConnection.Answer> answer =
                await(session.connection().request(HttpMethod.POST, "/control/orders", content));
        if (answer.isEmpty()) {
            end(engine.name());
            return new OrderAnswer.Unanswered("no answer");
        }
        return switch (answer.get().status()) {
            case ACCEPTED -> new OrderAnswer.Accepted();
            case CONFLICT ->
                new OrderAnswer.RefusedOldFencing(
                        EngineMessages.highestFencing(answer.get().content()));
            case INSUFFICIENT_STORAGE -> new OrderAnswer.RefusedNoMemory();
            default -> new OrderAnswer.Unanswered("status " + answer.get().status());
        };
    }

    @Override
    public void close() {
        sessions.values().forEach(session -> session.connection().close());
        group.shutdownGracefully(0, timeout.toMillis(), TimeUnit.MILLISECONDS);
    }
}
