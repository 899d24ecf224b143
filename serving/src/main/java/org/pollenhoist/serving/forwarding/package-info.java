/** Sends requests to upstreams, over this VM's own connections or through a peer while these are cut. */
package org.pollenhoist.serving.forwarding;
