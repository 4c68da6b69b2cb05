/** Routing of requests to executors, and the division of executors' slots between entries. */
package org.lavenderstage.core.routing;
