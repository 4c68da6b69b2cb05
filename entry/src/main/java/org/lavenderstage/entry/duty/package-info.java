/** Background threads and the queues to them. */
package org.lavenderstage.entry.duty;
