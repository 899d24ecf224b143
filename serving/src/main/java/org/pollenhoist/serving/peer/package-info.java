/** What the serving processes tell each other. */
package org.pollenhoist.serving.peer;
