/** Upstreams as a peer: model engines with their reports and orders, and plain services. */
package org.pollenhoist.upstream;
