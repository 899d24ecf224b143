/** The platform's store as the product sees it. */
package org.pollenhoist.serving.store;
