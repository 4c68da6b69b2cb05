/** Fault injection for the fakes, controlled over HTTP. */
package org.lavenderstage.standin.fault;
