/**
 * HTTP/1.1 client and server on Netty's codec. Both do only what an entry needs, so that they start
 * fast and cost little processor time for each call: IPv4 addresses only, no TLS, no HTTP/2, no
 * decorators.
 */
package org.lavenderstage.http;
