/** The experiment tool: experiments over the decisions and over real processes, and the command that runs them. */
package org.pollenhoist.experiments;
