package org.pollenhoist.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: all who know the same members rank them alike for a key, and a member that comes or goes moves
 * only the keys that it heads.
 */
public final class Rendezvous {

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /**
     * Ranks members for a key, the first one being responsible.
     *
     * @param key the hash of the key
     * @param members the members; their text counts
     * @param <M> the kind of member
     * @return the members in the order of their rank
     */
    public static <M> List<M> rank(long key, Collection<M> members) {
        return members.stream()
                .sorted(Comparator.comparingLong((M member) -> weight(key, member))
                        .reversed()
                        .thenComparing(Object::toString))
                .toList();
    }

    /**
     * Returns the weight of a member for a key; the highest one heads the ranking.
     *
     * @param key the hash of the key
     * @param member the member
     * @return the weight
     */
    public static long weight(long key, Object member) {
        return mix(key ^ hash(member.toString()));
    }

    /**
     * Hashes a text to 64 bits.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * PRIME;
        }
        return mix(hash);
    }

    /** The finalizer of SplitMix64, which spreads each bit over all others. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
