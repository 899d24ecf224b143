package org.pollenhoist.routing;

import java.util.List;

/**
 * The upstreams that could take a request, and how many could not.
 *
 * @param inPool upstreams of the pool
 * @param holding those of them that hold the model
 * @param available those of them that are neither leaving, ejected nor excluded
 */
record CandidateSet(int inPool, int holding, List<Candidate> available) {}
