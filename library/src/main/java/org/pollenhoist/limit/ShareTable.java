package org.pollenhoist.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.pollenhoist.common.MonotonicTime;
import org.pollenhoist.common.TeamName;
import org.pollenhoist.common.VmName;

/**
 * This process's shares of all teams' limits: the one place that decides whether a request fits.
 *
 * <p>The invariant is on the tokens that requests use, counted when they were admitted: over every interval of length
 * t, all VMs together admit requests that use at most {@code burst + rate * t} tokens. A request that runs counts with
 * its bound, a settled one with what it used.
 *
 * <p>Thread-safe. Lock order: the monitor of this table (changes of limits, home share and peers) before the monitor of
 * one team's share; never two teams at once. No method does I/O.
 */
public final class ShareTable {

    /** The shortest wait that a refusal names. */
    static final double LEAST_RETRY_SECONDS = 0.01;

    private final ShareSettings settings;
    private final long incarnation;
    private final Map<TeamName, TeamShare> shares = new ConcurrentHashMap<>();
    private HomeShare home = HomeShare.none();
    private List<VmName> peers = List.of();

    private ShareTable(ShareSettings settings, long incarnation) {
        this.settings = settings;
        this.incarnation = incarnation;
    }

    /**
     * Returns a table without any share.
     *
     * @param settings how shares move
     * @param incarnation the identifier of this process, never used by another one
     * @return the table
     */
    public static ShareTable empty(ShareSettings settings, long incarnation) {
        return new ShareTable(settings, incarnation);
    }

    /**
     * Sets the limits of all teams. A new team begins with an empty level; a team that is missing is refused, but its
     * loans stay booked, so that they still count where the team comes back.
     *
     * @param limits the limits by team
     * @param now the present time
     */
    public synchronized void setLimits(Map<TeamName, TeamLimit> limits, MonotonicTime now) {
        shares.forEach((team, share) -> {
            if (!limits.containsKey(team)) {
                share.setLimit(TeamLimit.NONE, now);
            }
        });
        limits.forEach((team, limit) -> {
            TeamShare share = shares.get(team);
            if (share == null) {
                share = new TeamShare(team, limit, settings, incarnation, now);
                share.setPeers(peers);
                share.setHome(home, now);
                shares.put(team, share);
            } else {
                share.setLimit(limit, now);
            }
        });
    }

    /**
     * Sets the parts that the platform's record assigns to this process. Parts that the record takes away must have
     * been given up here before.
     *
     * @param newHome the home share
     * @param now the present time
     */
    public synchronized void setHome(HomeShare newHome, MonotonicTime now) {
        home = newHome;
        shares.values().forEach(share -> share.setHome(newHome, now));
    }

    /**
     * Fills the buckets up for parts that no process of the fleet ever held. Only such parts may begin full.
     *
     * @param parts the parts
     * @param now the present time
     */
    public synchronized void fillUntouched(long parts, MonotonicTime now) {
        shares.values().forEach(share -> share.fillUntouched(parts, now));
    }

    /**
     * Tells whether parts of the home share can be given up, since no loan to a peer rests on them.
     *
     * @param parts the parts
     * @param now the present time
     * @return true where every team's share allows it
     */
    public synchronized boolean canGiveUp(long parts, MonotonicTime now) {
        return shares.values().stream().allMatch(share -> share.canGiveUp(parts, now));
    }

    /**
     * Returns the parts of the home share on which loans to peers rest, for the team with the most.
     *
     * @param now the present time
     * @return parts of {@link Parts#WHOLE}
     */
    public synchronized long lentParts(MonotonicTime now) {
        return shares.values().stream()
                .mapToLong(share -> share.lentParts(now))
                .max()
                .orElse(0);
    }

    /**
     * Sets the VMs that may be asked.
     *
     * @param names their names, without this VM's own
     */
    public synchronized void setPeers(Collection<VmName> names) {
        peers = List.copyOf(names);
        shares.values().forEach(share -> share.setPeers(peers));
    }

    /**
     * Decides on a request.
     *
     * @param team the team that pays
     * @param boundTokens the most tokens that the request may use
     * @param now the present time
     * @return the decision
     */
    public Admission admit(TeamName team, double boundTokens, MonotonicTime now) {
        TeamShare share = shares.get(team);
        if (share == null) {
            return new Admission.Refused(Refusal.UNKNOWN_TEAM, Optional.empty());
        }
        return share.admit(boundTokens, now);
    }

    /**
     * Decides again on a request that waits for peers.
     *
     * @param waiting the request
     * @param now the present time
     * @return the decision
     */
    public Admission retry(WaitingRequest waiting, MonotonicTime now) {
        TeamShare share = shares.get(waiting.team());
        if (share == null || waiting.isDecided()) {
            return new Admission.Refused(Refusal.UNKNOWN_TEAM, Optional.empty());
        }
        return share.retry(waiting, now);
    }

    /**
     * Settles a reservation when its request has ended, in whatever way. A second call changes nothing.
     *
     * @param reservation the reservation
     * @param usedTokens what the request used; the bound where that is not known
     * @param now the present time
     * @return the tokens that went back to the share; fewer than were left where the bucket would have overflowed
     */
    public double settle(Reservation reservation, double usedTokens, MonotonicTime now) {
        TeamShare share = shares.get(reservation.team());
        return share == null ? 0 : share.settle(reservation, usedTokens, now);
    }

    /**
     * Takes in a message of another VM.
     *
     * @param from the sending VM
     * @param fromIncarnation the sending process
     * @param message the message
     * @param now the present time
     * @return what to send in answer
     */
    public List<Outgoing> onMessage(VmName from, long fromIncarnation, ShareMessage message, MonotonicTime now) {
        return switch (message) {
            case ShareMessage.Request request -> onRequest(from, request, now);
            case ShareMessage.Loan loan -> {
                find(loan.team()).ifPresent(share -> share.onLoan(from, loan, now));
                yield List.of();
            }
            case ShareMessage.Return back -> {
                find(back.team()).ifPresent(share -> share.onReturn(from, fromIncarnation, back, now));
                yield List.of();
            }
            case ShareMessage.Status status -> {
                status.teams().forEach(team -> find(team.team()).ifPresent(share -> share.onStatus(from, team, now)));
                yield List.of();
            }
        };
    }

    private List<Outgoing> onRequest(VmName from, ShareMessage.Request request, MonotonicTime now) {
        return find(request.team())
                .map(share -> share.onRequest(from, request, now))
                .orElse(List.of());
    }

    private Optional<TeamShare> find(TeamName team) {
        return Optional.ofNullable(shares.get(team));
    }

    /**
     * Moves shares towards demand and tells the peers what this VM holds. Called once in each status interval.
     *
     * @param now the present time
     * @return what to send
     */
    public List<Outgoing> tick(MonotonicTime now) {
        List<Outgoing> messages = new ArrayList<>();
        List<ShareMessage.TeamStatus> statuses = new ArrayList<>();
        shares.values().forEach(share -> {
            messages.addAll(share.tick(now));
            statuses.add(share.status(now));
        });
        ShareMessage.Status status = new ShareMessage.Status(statuses);
        currentPeers().forEach(peer -> messages.add(new Outgoing(peer, status)));
        return messages;
    }

    private synchronized List<VmName> currentPeers() {
        return peers;
    }

    /**
     * Returns what this VM holds for a team.
     *
     * @param team the team
     * @param now the present time
     * @return its state, or empty where the team is not configured
     */
    public Optional<ShareMessage.TeamStatus> status(TeamName team, MonotonicTime now) {
        return find(team).map(share -> share.status(now));
    }
}
