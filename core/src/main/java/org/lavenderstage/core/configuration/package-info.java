/** Checks a configuration of the queues before it is published. */
package org.lavenderstage.core.configuration;
