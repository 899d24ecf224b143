/** Callers as a peer: what they may send over HTTP/1.1, how they are known, and the one form of all refusals. */
package org.pollenhoist.caller;
