/** What operators decide: teams, profiles, models, routes, upstreams and keys, in revisions that only grow. */
package org.pollenhoist.configuration;
