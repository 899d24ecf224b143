/** Connections to callers and upstreams. */
package org.pollenhoist.serving.http;
