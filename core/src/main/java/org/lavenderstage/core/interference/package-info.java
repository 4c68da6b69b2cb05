/** How much a batch class disturbs a service. */
package org.lavenderstage.core.interference;
