/** What this process knows of the upstreams: their own reports, the load it gives them, and how they fared. */
package org.pollenhoist.serving.upstream;
