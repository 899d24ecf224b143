/** Selects the upstream of a request and decides which requests are sent, queued or refused. */
package org.pollenhoist.serving.routing;
