/** The life cycle of a request: admission, queueing, attempts at upstreams and the response to the caller. */
package org.pollenhoist.serving.request;
