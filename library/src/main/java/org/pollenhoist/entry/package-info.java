/** The entry process put together: one facade to embed, over callers, limits, routing and upstreams. */
package org.pollenhoist.entry;
