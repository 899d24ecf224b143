/** The upstreams known to this process: their descriptions, their load, and the outcome of recent attempts. */
package org.pollenhoist.serving.upstream;
