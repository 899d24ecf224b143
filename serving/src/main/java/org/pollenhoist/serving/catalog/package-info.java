/** The routes, services, teams and limits of the configuration, as immutable values. */
package org.pollenhoist.serving.catalog;
