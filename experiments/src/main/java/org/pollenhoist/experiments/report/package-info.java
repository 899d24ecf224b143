/** Results of experiments as a table, as JSON and as a picture. */
package org.pollenhoist.experiments.report;
