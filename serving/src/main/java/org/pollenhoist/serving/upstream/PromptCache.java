package org.pollenhoist.serving.upstream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenhoist.serving.request.PromptSegment;

/** The prompt segments that an upstream is assumed to cache, by model. Confined to the event loop. */
public final class PromptCache {

    private static final int MAXIMUM_SEGMENTS = 512;

    private final Map<String, Integer> segments = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAXIMUM_SEGMENTS;
        }
    };

    PromptCache() {}

    /**
     * Records that the upstream has processed the segments of a prompt.
     *
     * @param model the model that processed them
     * @param prompt the segments in order
     */
    public void add(String model, List<PromptSegment> prompt) {
        prompt.forEach(segment -> segments.put(key(model, segment), segment.tokens()));
    }

    /**
     * Estimates how many tokens of a prompt the upstream has cached.
     *
     * @param model the model
     * @param prompt the segments of the prompt in order
     * @return tokens of the leading segments that the upstream has processed before
     */
    public long cachedTokens(String model, List<PromptSegment> prompt) {
        long cached = 0;
        for (PromptSegment segment : prompt) {
            if (!segments.containsKey(key(model, segment))) {
                break;
            }
            cached += segment.tokens();
        }
        return cached;
    }

    private static String key(String model, PromptSegment segment) {
        return model + ' ' + segment.identifier();
    }
}
