/**
 * Decides whether a team's request fits the team's rate and burst over the whole fleet.
 *
 * <p>Each VM holds a part of every limit. The parts of all VMs together never exceed the whole, so that no call to a
 * central counter is needed. Parts move between VMs as loans that end by themselves; tokens move as debited amounts
 * that the receiver adds at most once and at most up to its own capacity.
 */
package org.pollenhoist.limit;
