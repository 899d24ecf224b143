/** Upstreams as a peer: model engines and plain services, called over HTTP/1.1. */
package org.pollenhoist.upstream;
