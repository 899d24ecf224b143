package org.pollenhoist.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.pollenhoist.common.VmName;

/**
 * The platform's record of the home shares within one failure domain: which process holds how many parts of every
 * team's limit. Changed only by compare-and-swap of the whole record.
 *
 * <p>A process uses added parts only after the record holds them, and gives parts up before the record says so, so that
 * the record never promises a part twice.
 *
 * @param change grows by one with each write
 * @param untouched parts that no process ever held
 * @param vacated parts that processes gave up in a planned stop, on which no loan rests: usable at once, from empty
 * @param released parts of processes that have ended; loans of theirs may still run
 * @param members the processes that hold parts
 */
public record HomeRecord(long change, long untouched, long vacated, long released, List<Member> members) {

    /** Copies the members. */
    public HomeRecord {
        members = List.copyOf(members);
    }

    /**
     * A process that holds parts.
     *
     * @param vm its VM
     * @param incarnation the process
     * @param address IP number and port on which it listens for other VMs
     * @param generation counts its pairs of leases
     * @param parts the parts it holds
     * @param isFloatReleased whether its short lease ended, so that only its floor is left
     */
    public record Member(
            VmName vm, long incarnation, String address, int generation, long parts, boolean isFloatReleased) {

        private Member withParts(long newParts) {
            return new Member(vm, incarnation, address, generation, newParts, isFloatReleased);
        }

        /**
         * Returns the parts that the long lease alone covers.
         *
         * @return half of the parts, or all where the other half was released
         */
        public long floorParts() {
            return isFloatReleased ? parts : parts - parts / 2;
        }
    }

    /**
     * Returns the record of a failure domain in which no process ran yet.
     *
     * @param total the failure domain's parts of every limit
     * @return the record
     */
    public static HomeRecord create(long total) {
        return new HomeRecord(0, total, 0, 0, List.of());
    }

    /**
     * Returns all parts of the failure domain.
     *
     * @return parts of {@link Parts#WHOLE}
     */
    public long total() {
        return untouched
                + vacated
                + released
                + members.stream().mapToLong(Member::parts).sum();
    }

    /**
     * Returns the entry of a process.
     *
     * @param incarnation the process
     * @return its entry, or empty
     */
    public Optional<Member> find(long incarnation) {
        return members.stream()
                .filter(member -> member.incarnation() == incarnation)
                .findFirst();
    }

    /**
     * Adds a process. A predecessor that listened at the same address under the same name is proved gone by the new
     * process listening there: it is removed and its parts are released.
     *
     * @param vm the VM
     * @param incarnation the process
     * @param address IP number and port on which it listens
     * @param generation the number of its pair of leases
     * @return the record with the process, holding nothing yet
     */
    public HomeRecord join(VmName vm, long incarnation, String address, int generation) {
        HomeRecord record = this;
        for (Member member : members) {
            if (member.vm().equals(vm) && member.address().equals(address) && member.incarnation() != incarnation) {
                record = record.remove(member.incarnation());
            }
        }
        List<Member> joined = new ArrayList<>(record.members);
        joined.add(new Member(vm, incarnation, address, generation, 0, false));
        return new HomeRecord(record.change, record.untouched, record.vacated, record.released, joined);
    }

    /**
     * Removes a process that has left or is proved gone, and releases its parts.
     *
     * @param incarnation the process
     * @return the record without it
     */
    public HomeRecord remove(long incarnation) {
        return leave(incarnation, 0);
    }

    /**
     * Removes a process in its planned stop.
     *
     * @param incarnation the process, which has stopped using its parts
     * @param unburdenedParts those of its parts on which no loan rests, neither its own nor a predecessor's
     * @return the record without it: the unburdened parts are free at once, the others released
     */
    public HomeRecord leave(long incarnation, long unburdenedParts) {
        long parts = find(incarnation).map(Member::parts).orElse(0L);
        long free = Math.max(0, Math.min(parts, unburdenedParts));
        List<Member> rest = members.stream()
                .filter(member -> member.incarnation() != incarnation)
                .toList();
        return new HomeRecord(change, untouched, vacated + free, released + parts - free, rest);
    }

    /**
     * Releases the part that a process held under its short lease, which has ended.
     *
     * @param incarnation the process
     * @return the record with the process's floor alone
     */
    public HomeRecord releaseFloat(long incarnation) {
        long freed = find(incarnation)
                .filter(member -> !member.isFloatReleased())
                .map(member -> member.parts() - member.floorParts())
                .orElse(0L);
        HomeRecord changed = replace(
                incarnation,
                member -> new Member(
                        member.vm(), incarnation, member.address(), member.generation(), member.floorParts(), true));
        return new HomeRecord(change, untouched, vacated, released + freed, changed.members);
    }

    /**
     * Notes that a process whose short lease had ended holds a new pair of leases.
     *
     * @param incarnation the process
     * @param generation the number of the new pair
     * @return the changed record
     */
    public HomeRecord renew(long incarnation, int generation) {
        return replace(
                incarnation,
                member -> new Member(member.vm(), incarnation, member.address(), generation, member.parts(), false));
    }

    /**
     * Gives a process free parts up to an equal split.
     *
     * @param incarnation the process
     * @return the changed record
     */
    public HomeRecord claim(long incarnation) {
        long missing =
                Math.max(0, equalSplit() - find(incarnation).map(Member::parts).orElse(equalSplit()));
        long fromUntouched = Math.min(missing, untouched);
        long fromVacated = Math.min(missing - fromUntouched, vacated);
        long fromReleased = Math.min(missing - fromUntouched - fromVacated, released);
        long added = fromUntouched + fromVacated + fromReleased;
        HomeRecord changed = replace(incarnation, member -> member.withParts(member.parts() + added));
        return new HomeRecord(
                change, untouched - fromUntouched, vacated - fromVacated, released - fromReleased, changed.members);
    }

    /**
     * Returns the parts that a process holds beyond an equal split while another holds less.
     *
     * @param incarnation the process
     * @return the parts it should give
     */
    public long surplus(long incarnation) {
        long own = find(incarnation).map(Member::parts).orElse(0L);
        long wanted = members.stream()
                .mapToLong(member -> Math.max(0, equalSplit() - member.parts()))
                .sum();
        return Math.max(0, Math.min(own - equalSplit(), wanted));
    }

    /**
     * Moves parts from a process to those that hold least. The process has stopped using them.
     *
     * @param incarnation the process
     * @param parts how many parts
     * @return the changed record
     */
    public HomeRecord give(long incarnation, long parts) {
        HomeRecord record = replace(incarnation, member -> member.withParts(member.parts() - parts));
        long remaining = parts;
        List<Member> poorestFirst = members.stream()
                .filter(member -> member.incarnation() != incarnation)
                .sorted(Comparator.comparingLong(Member::parts))
                .toList();
        for (Member poor : poorestFirst) {
            long given = Math.min(remaining, Math.max(0, equalSplit() - poor.parts()));
            record = record.replace(poor.incarnation(), member -> member.withParts(member.parts() + given));
            remaining -= given;
        }
        return new HomeRecord(change, untouched, vacated, released + remaining, record.members);
    }

    /**
     * Returns the record as it is written next.
     *
     * @return the same content with the next change number
     */
    public HomeRecord next() {
        return new HomeRecord(change + 1, untouched, vacated, released, members);
    }

    private long equalSplit() {
        return members.isEmpty() ? total() : total() / members.size();
    }

    private HomeRecord replace(long incarnation, UnaryOperator<Member> update) {
        List<Member> changed = members.stream()
                .map(member -> member.incarnation() == incarnation ? update.apply(member) : member)
                .toList();
        return new HomeRecord(change, untouched, vacated, released, changed);
    }
}
