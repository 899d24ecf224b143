/** Decides which models and adapters are loaded on which engines, and which VM sends the orders that change it. */
package org.pollenhoist.serving.placement;
