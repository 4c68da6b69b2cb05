/** Admission control and queueing of requests. */
package org.lavenderstage.core.admission;
