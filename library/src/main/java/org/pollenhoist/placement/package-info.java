/** Decisions on which upstream holds which model, the ledger that keeps memory from being overcommitted, and plans. */
package org.pollenhoist.placement;
