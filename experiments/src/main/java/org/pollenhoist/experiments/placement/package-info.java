/** Measures placement: attainment per accelerator and the moves it costs, against baselines in the same run. */
package org.pollenhoist.experiments.placement;
