package org.pollenhoist.serving.node;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenhoist.serving.stream.StreamKey;
import org.pollenhoist.serving.stream.StreamOrigin;
import org.pollenhoist.vm.generated.StreamBeginning;
import org.pollenhoist.vm.generated.StreamExchange;
import org.pollenhoist.vm.generated.VmDigest;

/** Applies mutations of datagrams between VMs: none ends the exchange. */
class DigestFuzzTest {

    private static final int ROUNDS = 20_000;
    private static final InetSocketAddress SENDER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7_600);

    private static byte[] mutate(byte[] sound, Random random) {
        byte[] mutated = sound.clone();
        for (int count = 1 + random.nextInt(4); count > 0; count--) {
            mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
        }
        return random.nextInt(4) == 0 ? java.util.Arrays.copyOf(mutated, 1 + random.nextInt(mutated.length)) : mutated;
    }

    @Nested
    class Datagrams {

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3})
        void should_be_applied_or_rejected_without_an_exception(long seed) {
            Random random = new Random(seed);
            SimulatedExchange exchange = new SimulatedExchange(4, 2, 3, List.of(), seed);
            exchange.run(2_000);
            SimulatedExchange.Vm sender = exchange.vms.get(0);
            SimulatedExchange.Vm receiver = exchange.vms.get(1);
            sender.streams.registry().begin(new StreamKey(7), new StreamOrigin("engines", "v1"), exchange.now());
            byte[] digest = sender.createDigest(1_000_000, true, sender.engines(), exchange.now())
                    .toByteArray();
            byte[] streams = VmDigest.newBuilder()
                    .setVmName(sender.name)
                    .setIncarnation(1)
                    .setStreams(StreamExchange.newBuilder()
                            .addAsked(7)
                            .addKnown(StreamBeginning.newBuilder()
                                    .setService("engines")
                                    .setSoftwareVersion("v1")
                                    .addStreams(8)))
                    .build()
                    .toByteArray();

            for (int round = 0; round < ROUNDS; round++) {
                byte[] mutated = mutate(random.nextBoolean() ? digest : streams, random);
                assertThatCode(() -> receiver.peers.receive(mutated, SENDER))
                        .as(java.util.HexFormat.of().formatHex(mutated))
                        .doesNotThrowAnyException();
            }
        }
    }
}
