/** Estimates how much each batch class interferes with each service. */
package org.lavenderstage.core.interference;
