/** Which upstream a request goes to, and which requests wait or are refused. */
package org.pollenhoist.serving.routing;
