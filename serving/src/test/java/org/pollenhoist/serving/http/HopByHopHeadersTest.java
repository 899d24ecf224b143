package org.pollenhoist.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HopByHopHeadersTest {

    @Nested
    class Copying {

        @Test
        void should_leave_out_headers_when_they_apply_to_one_connection() {
            HttpHeaders from = new DefaultHttpHeaders()
                    .add("Connection", "Keep-Alive, x-once")
                    .add("Keep-Alive", "timeout=5")
                    .add("Transfer-Encoding", "chunked")
                    .add("X-Once", "1")
                    .add("Accept", "a")
                    .add("Accept", "b")
                    .add("X-Secret", "s");
            HttpHeaders to = new DefaultHttpHeaders();

            HopByHopHeaders.copyEndToEnd(from, to, Set.of("x-secret"));

            assertThat(to.names()).containsExactly("Accept");
            assertThat(to.getAll("Accept")).containsExactly("a", "b");
        }
    }
}
