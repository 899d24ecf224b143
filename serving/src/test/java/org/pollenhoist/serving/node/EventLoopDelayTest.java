package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.pollenhoist.common.MonotonicTime;
import org.slf4j.LoggerFactory;

/** Tests the delay of the event loop that is measured and logged. */
class EventLoopDelayTest {

    private static final Duration INTERVAL = Duration.ofMillis(50);
    private static final MonotonicTime START = new MonotonicTime(0);

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final EventLoopDelay delay = new EventLoopDelay(INTERVAL, registry, START);
    private final ListAppender<ILoggingEvent> log = new ListAppender<>();
    private final Logger logger = (Logger) LoggerFactory.getLogger("pollenhoist.node");
    private final Level levelBefore = logger.getLevel();

    @BeforeEach
    void captureLog() {
        log.start();
        logger.setLevel(Level.INFO);
        logger.addAppender(log);
    }

    @AfterEach
    void releaseLog() {
        logger.detachAppender(log);
        logger.setLevel(levelBefore);
    }

    private double observedSeconds() {
        HistogramSnapshot snapshot = (HistogramSnapshot) registry.scrape().stream()
                .filter(found -> found.getMetadata().getName().equals("pollenhoist_event_loop_delay_seconds"))
                .findFirst()
                .orElseThrow();
        return snapshot.getDataPoints().get(0).getSum();
    }

    @Nested
    class Begin {

        @Test
        void should_log_a_delay_that_is_long() {
            delay.begin(START.plus(INTERVAL).plus(EventLoopDelay.LOGGED_DELAY));

            assertThat(log.list)
                    .extracting(ILoggingEvent::getFormattedMessage)
                    .containsExactly("event=event_loop_late delay_ms=250");
            assertThat(observedSeconds()).isEqualTo(0.25);
        }

        @Test
        void should_observe_a_short_delay_without_logging_it() {
            delay.begin(START.plus(INTERVAL).plus(Duration.ofMillis(125)));

            assertThat(log.list).isEmpty();
            assertThat(observedSeconds()).isEqualTo(0.125);
        }

        @Test
        void should_not_count_the_time_that_the_task_itself_takes() {
            MonotonicTime end = START.plus(Duration.ofSeconds(3));
            delay.begin(START.plus(INTERVAL));
            delay.end(end);

            delay.begin(end.plus(INTERVAL));

            assertThat(log.list).isEmpty();
            assertThat(observedSeconds()).isEqualTo(0);
        }
    }
}
