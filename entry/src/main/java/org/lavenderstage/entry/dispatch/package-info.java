/** The order and the routing of requests to executors. */
package org.lavenderstage.entry.dispatch;
