/** The HTTP server for callers, and the HTTP client for upstreams, the store and peers. */
package org.pollenhoist.serving.http;
