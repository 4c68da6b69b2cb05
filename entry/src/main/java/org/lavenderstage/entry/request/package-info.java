/** The callers' interface for service requests. */
package org.lavenderstage.entry.request;
