/** Fleet-wide rate limits of teams. */
package org.pollenhoist.serving.limit;
