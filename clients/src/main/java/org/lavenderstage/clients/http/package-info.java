/** Clients of the platform over HTTP. */
package org.lavenderstage.clients.http;
