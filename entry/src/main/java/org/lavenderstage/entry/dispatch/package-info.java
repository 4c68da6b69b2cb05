/** Dispatching of requests to executors, and the exchange of slots with other entries. */
package org.lavenderstage.entry.dispatch;
