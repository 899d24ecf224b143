package org.pollenhoist.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseDecoderTest {

    private final ResponseDecoder decoder = new ResponseDecoder(8_192, 32_768, 65_536, Set.of("x-id"));
    private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

    private HttpResponse read(String text) {
        decoder.awaitResponseTo(HttpMethod.GET);
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        HttpObject first = channel.readInbound();
        assertThat(first).isInstanceOf(HttpResponse.class);
        return (HttpResponse) first;
    }

    @Nested
    class Heads {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nx-id: a\r\nX-ID: a\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Type: a/c\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX-Other: HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX-Other: a\r\n HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX-Other: HTTP/1.1 5\r\n00 Failed\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX-Other : a\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nHTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OKHTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 100 ContinueHTTP/1.1 500 Failed\r\n\r\n",
                    "HHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 700 OK\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n"
                })
        void should_fail_when_they_can_not_be_those_of_one_response(String text) {
            assertThat(read(text).decoderResult().isFailure()).isTrue();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.0 200 \r\nX-Id: a\r\n\r\n",
                    "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 426 Upgrade Required\r\nUpgrade: HTTP/2.0, HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 204 No Content\r\nVia:HTTP/1.1 proxy\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nX-Empty:\r\nX-Text: a: b\r\nContent-Length: 0\r\n\r\n"
                })
        void should_be_read_when_they_are_those_of_one_response(String text) {
            assertThat(read(text).decoderResult().isSuccess()).isTrue();
        }
    }

    @Nested
    class Beginning {

        @Test
        void should_hold_the_bytes_of_a_malformed_head() {
            read("HTTP/1.1 200 OHTTP/1.1 500 Failed\r\nX-Id: \u0001\u00e4\r\n\r\nbody");

            assertThat(decoder.beginning()).isEqualTo("HTTP/1.1 200 OHTTP/1.1 500 Failed\r\nX-Id: ??");
        }

        @Test
        void should_not_hold_bytes_that_may_be_those_of_a_body() {
            decoder.stopAwaiting();

            channel.writeInbound(Unpooled.copiedBuffer("confidential", StandardCharsets.ISO_8859_1));

            assertThat(decoder.beginning()).isEqualTo("12 bytes without a status line");
        }

        @Test
        void should_not_be_longer_than_two_hundred_bytes() {
            read("HTTP/1.1 200 " + "x".repeat(300) + "HTTP/1.1 500 Failed\r\n\r\n");

            assertThat(decoder.beginning()).hasSize(200).startsWith("HTTP/1.1 200 xxx");
        }
    }
}
