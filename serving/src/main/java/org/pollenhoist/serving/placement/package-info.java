/** Which models and adapters the upstreams hold, and the orders that change it. */
package org.pollenhoist.serving.placement;
