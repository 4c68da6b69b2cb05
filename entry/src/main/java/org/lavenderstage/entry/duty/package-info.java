/** Threads with one duty each. */
package org.lavenderstage.entry.duty;
