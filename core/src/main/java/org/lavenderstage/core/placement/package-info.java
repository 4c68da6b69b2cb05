/** Decides which worker runs a task, and protects services from interference by batch tasks. */
package org.lavenderstage.core.placement;
