/** Faults that are switched on over HTTP. */
package org.lavenderstage.standin.fault;
