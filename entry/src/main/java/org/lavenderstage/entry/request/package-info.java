/** The HTTP interface for service requests of callers. */
package org.lavenderstage.entry.request;
