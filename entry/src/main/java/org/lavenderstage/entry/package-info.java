/** The entry daemon, the process between callers and upstreams. */
package org.lavenderstage.entry;
