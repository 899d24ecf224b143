/** The interface to the platform's key-value store, and a local mirror of the store's items. */
package org.pollenhoist.serving.store;
