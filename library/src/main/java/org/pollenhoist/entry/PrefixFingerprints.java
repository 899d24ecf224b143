package org.pollenhoist.entry;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.pollenhoist.common.ModelName;

/** Fingerprints of a prompt's leading blocks, each over all bytes up to the block's end. */
final class PrefixFingerprints {

    private static final int BLOCK_CHARACTERS = 256;

    private static final int MAXIMUM_BLOCKS = 32;

    private PrefixFingerprints() {}

    static List<Long> of(ModelName model, String prompt) {
        List<Long> fingerprints = new ArrayList<>();
        long previous = Hashing.murmur3_128()
                .hashString(model.value(), StandardCharsets.UTF_8)
                .asLong();
        int blocks = Math.min(MAXIMUM_BLOCKS, prompt.length() / BLOCK_CHARACTERS);
        for (int block = 0; block < blocks; block++) {
            String text = prompt.substring(block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS);
            previous = Hashing.murmur3_128()
                    .newHasher()
                    .putLong(previous)
                    .putString(text, StandardCharsets.UTF_8)
                    .hash()
                    .asLong();
            fingerprints.add(previous);
        }
        return fingerprints;
    }
}
